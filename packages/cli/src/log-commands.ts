import type { CommonParser, RunCommand } from './common-options';
import { traceRequest } from './commands/trace';

/** Adds the commands that read log files of daemons; they do not connect to a daemon. */
export function addLogCommands(parser: CommonParser, run: RunCommand): void {
  parser.command(
    'trace <request> <files..>',
    "Print the lines of one request from the daemons' logs",
    (options) =>
      options
        .positional('request', { type: 'string', demandOption: true })
        .positional('files', { type: 'string', array: true, demandOption: true }),
    (args) => run(args, (context) => traceRequest(context, args.request, args.files)),
  );
}
