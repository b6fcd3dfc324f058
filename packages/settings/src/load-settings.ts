import { readFileSync } from 'node:fs';
import { checkDaemonSettings } from './check-daemon-settings';
import type { ValidationResult } from './check-document';
import type { DaemonSettings } from './daemon-settings';

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function readJson(file: string): ValidationResult<unknown> {
  try {
    return { ok: true, value: JSON.parse(readFileSync(file, 'utf8')) as unknown };
  } catch (error) {
    const expected = `a readable JSON file: ${errorMessage(error)}`;
    return { ok: false, problems: [{ path: '', value: file, expected }] };
  }
}

/** Reads daemon settings from a file and validates them, rules that span fields included. */
export function loadDaemonSettings(file: string): ValidationResult<DaemonSettings> {
  const document = readJson(file);
  return document.ok ? checkDaemonSettings(document.value) : document;
}
