import { DecodeError } from '@daisyferry/platform/decode-error';
import { decodeSettings } from '@daisyferry/platform/settings';
import { checkDaemonSettings } from '@daisyferry/settings/check-daemon-settings';
import { formatProblem } from '@daisyferry/settings/check-document';
import { daemonSettingsSchema } from '@daisyferry/settings/daemon-settings';
import { z } from 'zod';
import type { CommandContext } from '../command-context';
import { CliExitCode } from '../exit-code';
import { readJsonFile } from '../policy-file';

/** `settings check`: reports every problem of a daemon's settings with its path. */
export function checkSettings(context: CommandContext, file: string): void {
  const validation = checkDaemonSettings(readJsonFile(context.environment, file));
  const problems = validation.ok ? [] : validation.problems;
  const text = validation.ok ? `${file}: valid` : problems.map(formatProblem).join('\n');
  context.printValue({ file, ok: validation.ok, problems }, text);
  if (!validation.ok) context.exitCode = CliExitCode.badInput;
}

/** `settings check-platform`: decodes the file in the same way as a daemon does at startup. */
export function checkPlatformSettings(context: CommandContext, file: string): void {
  const text = context.environment.readFile(file);
  try {
    const environment = decodeSettings(text);
    const { daemonId, zone, service } = environment;
    context.printValue(
      { file, ok: true, environment },
      `${file}: valid, ${daemonId} in ${zone} beside a target of ${service}`,
    );
  } catch (error) {
    if (!(error instanceof DecodeError)) throw error;
    context.printValue({ file, ok: false, problem: error.message }, `${file}: ${error.message}`);
    context.exitCode = CliExitCode.badInput;
  }
}

/** Creates the JSON Schema of a daemon's settings file. */
export function createSettingsJsonSchema(): object {
  return z.toJSONSchema(daemonSettingsSchema, { io: 'input' });
}

/** `settings schema`: prints the JSON Schema of a daemon's settings, or writes it to a file. */
export function printSettingsSchema(context: CommandContext, file: string | undefined): void {
  const text = JSON.stringify(createSettingsJsonSchema(), null, 2);
  if (file === undefined) context.printValue(createSettingsJsonSchema(), text);
  else context.environment.writeFile(file, `${text}\n`);
}
