import type { CommonParser, RunCommand } from './common-options';
import { checkPlatformSettings, checkSettings, printSettingsSchema } from './commands/settings';

/** Adds `settings` and its subcommands; they do not connect to a daemon. */
export function addSettingsCommands(parser: CommonParser, run: RunCommand): void {
  parser.command('settings', "Check and describe a daemon's settings", (options) =>
    options
      .command(
        'check <file>',
        'Check a settings file and report every problem',
        (check) => check.positional('file', { type: 'string', demandOption: true }),
        (args) => run(args, (context) => checkSettings(context, args.file)),
      )
      .command(
        'check-platform <file>',
        "Check the settings file that the users' platform writes for a daemon",
        (check) => check.positional('file', { type: 'string', demandOption: true }),
        (args) => run(args, (context) => checkPlatformSettings(context, args.file)),
      )
      .command(
        'schema',
        'Print the JSON Schema of the settings',
        (schema) => schema.option('output', { type: 'string', describe: 'File to write' }),
        (args) => run(args, (context) => printSettingsSchema(context, args.output)),
      )
      .demandCommand(1, 'settings: a command is needed; --help lists them'),
  );
}
