import type { CliEnvironment } from './environment';
import { CliInputError } from './cli-input-error';

/** A policy document read from a file. */
export interface PolicyFile {
  readonly text: string;
  /** Empty if the document has no valid service name; the daemon then reports the problem. */
  readonly service: string;
}

function extractService(document: unknown): string {
  if (typeof document !== 'object' || document === null) return '';
  const { service } = document as { readonly service?: unknown };
  return typeof service === 'string' ? service : '';
}

/** Reads a JSON file. The daemon validates the contents. */
export function readJsonFile(environment: CliEnvironment, file: string): unknown {
  const text = environment.readFile(file);
  try {
    return JSON.parse(text);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new CliInputError(`${file}: not JSON: ${detail}`);
  }
}

export function readPolicyFile(environment: CliEnvironment, file: string): PolicyFile {
  const document = readJsonFile(environment, file);
  return { text: JSON.stringify(document), service: extractService(document) };
}
