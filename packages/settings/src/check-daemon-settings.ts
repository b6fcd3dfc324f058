import { checkDocument, type ValidationResult } from './check-document';
import { daemonSettingsSchema, type DaemonSettings } from './daemon-settings';
import { networkProblems } from './network-rules';

/** Validates daemon settings against the schema, then against the rules that span fields. */
export function checkDaemonSettings(document: unknown): ValidationResult<DaemonSettings> {
  const checked = checkDocument(daemonSettingsSchema, document);
  if (!checked.ok) return checked;
  const problems = networkProblems(checked.value);
  return problems.length === 0 ? checked : { ok: false, problems };
}
