import { existsSync } from 'node:fs';
import path from 'node:path';

/** Files of the executables that the bench starts. */
export interface Programs {
  readonly bench: string;
  readonly daemon: string;
  readonly storeStandIn: string;
  readonly timeline: string;
}

/** A required executable has not been built. */
export class MissingProgramError extends Error {
  override readonly name = 'MissingProgramError';
}

/** Returns the files of the executables in a build folder. */
export function programsIn(folder: string): Programs {
  return {
    bench: path.join(folder, 'daisyferry-bench.mjs'),
    daemon: path.join(folder, 'daisyferryd.mjs'),
    storeStandIn: path.join(folder, 'daisyferry-store-stand-in.mjs'),
    timeline: path.join(folder, 'daisyferry-timeline.mjs'),
  };
}

/** Throws for the first file that does not exist. */
export function requirePrograms(files: readonly string[]): void {
  const missingFile = files.find((file) => !existsSync(file));
  if (missingFile !== undefined) {
    throw new MissingProgramError(`${missingFile} does not exist; run 'npm run build' first`);
  }
}
