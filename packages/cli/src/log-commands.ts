import type { CommonParser, RunCommand } from './common-options';
import { traceRequest } from './commands/trace';

/** Adds the commands that read the daemons' logs; they ask no daemon. */
export function addLogCommands(parser: CommonParser, run: RunCommand): void {
  parser.command(
    'trace <request> <files..>',
    "Print what the daemons' logs tell of one request",
    (options) =>
      options
        .positional('request', { type: 'string', demandOption: true })
        .positional('files', { type: 'string', array: true, demandOption: true }),
    (args) => run(args, (context) => traceRequest(context, args.request, args.files)),
  );
}
