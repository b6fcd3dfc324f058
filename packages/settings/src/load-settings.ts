import { readFileSync } from 'node:fs';
import type { z } from 'zod';
import type { Checked } from './check-settings';
import { checkDocument } from './check-settings';
import type { DaemonSettings } from './daemon-settings';
import { daemonSettingsSchema } from './daemon-settings';
import { networkProblems } from './network-rules';

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Reads a JSON file and checks it against a schema. */
export function loadDocument<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
): Checked<z.output<Schema>> {
  let document: unknown;
  try {
    document = JSON.parse(readFileSync(file, 'utf8'));
  } catch (error) {
    const problem = {
      path: '',
      value: file,
      expected: `a readable JSON file: ${messageOf(error)}`,
    };
    return { ok: false, problems: [problem] };
  }
  return checkDocument(schema, document);
}

/** Reads and checks the settings of a daemon, with the rules that span several fields. */
export function loadDaemonSettings(file: string): Checked<DaemonSettings> {
  const checked = loadDocument(daemonSettingsSchema, file);
  if (!checked.ok) return checked;
  const problems = networkProblems(checked.value);
  return problems.length === 0 ? checked : { ok: false, problems };
}
