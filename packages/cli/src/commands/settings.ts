import { DecodeError } from '@daisyferry/platform/decode-error';
import { decodeSettings } from '@daisyferry/platform/settings';
import { checkDaemonSettings } from '@daisyferry/settings/check-daemon-settings';
import { formatProblem } from '@daisyferry/settings/check-document';
import { daemonSettingsSchema } from '@daisyferry/settings/daemon-settings';
import { z } from 'zod';
import type { CommandContext } from '../command-context';
import { ExitCode } from '../exit-code';
import { readJson } from '../policy-file';

/** `settings check`: names every fault of a daemon's settings by its path. */
export function checkSettings(context: CommandContext, file: string): void {
  const checked = checkDaemonSettings(readJson(context.environment, file));
  const problems = checked.ok ? [] : checked.problems;
  const text = checked.ok ? `${file}: good` : problems.map(formatProblem).join('\n');
  context.report({ file, ok: checked.ok, problems }, text);
  if (!checked.ok) context.exitCode = ExitCode.badInput;
}

/** `settings check-platform`: decodes the file as a daemon does at its start. */
export function checkPlatformSettings(context: CommandContext, file: string): void {
  const text = context.environment.readFile(file);
  try {
    const environment = decodeSettings(text);
    const { daemonId, zone, service } = environment;
    context.report(
      { file, ok: true, environment },
      `${file}: good, ${daemonId} in ${zone} beside a target of ${service}`,
    );
  } catch (error) {
    if (!(error instanceof DecodeError)) throw error;
    context.report({ file, ok: false, problem: error.message }, `${file}: ${error.message}`);
    context.exitCode = ExitCode.badInput;
  }
}

/** The JSON Schema of a daemon's settings as they stand in a file. */
export function settingsSchema(): object {
  return z.toJSONSchema(daemonSettingsSchema, { io: 'input' });
}

/** `settings schema` */
export function printSettingsSchema(context: CommandContext, file: string | undefined): void {
  const text = JSON.stringify(settingsSchema(), null, 2);
  if (file === undefined) context.report(settingsSchema(), text);
  else context.environment.writeFile(file, `${text}\n`);
}
