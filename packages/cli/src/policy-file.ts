import type { CliEnvironment } from './environment';
import { InputError } from './input-error';

/** A policy document as it stands in a file. */
export interface PolicyFile {
  readonly text: string;
  /** Empty when the document names none; the daemon then names the fault. */
  readonly service: string;
}

function serviceOf(document: unknown): string {
  if (typeof document !== 'object' || document === null) return '';
  const { service } = document as { readonly service?: unknown };
  return typeof service === 'string' ? service : '';
}

/** Reads a JSON file; what the document says is checked by the daemon. */
export function readJson(environment: CliEnvironment, file: string): unknown {
  const text = environment.readFile(file);
  try {
    return JSON.parse(text);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new InputError(`${file}: not JSON: ${detail}`);
  }
}

export function readDocument(environment: CliEnvironment, file: string): PolicyFile {
  const document = readJson(environment, file);
  return { text: JSON.stringify(document), service: serviceOf(document) };
}
