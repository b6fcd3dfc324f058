import {
  positiveWholeNumberWithDefault,
  optionalWholeNumber,
  type CommonParser,
  type RunCommand,
} from './common-options';
import { showFreshness } from './commands/freshness';
import { drainTarget, explainRefusals, listMembers, showStatus } from './commands/fleet';

const DEFAULT_REFUSAL_LIMIT = 20;

/** Adds the commands for daemons and their targets. */
export function addFleetCommands(parser: CommonParser, run: RunCommand): void {
  parser
    .command(
      'members',
      'List the members known to the daemon',
      (options) => options.option('service', { type: 'string', describe: 'Only this service' }),
      (args) => run(args, (context) => listMembers(context, args.service)),
    )
    .command(
      'drain [daemon]',
      'Drain the target beside a daemon',
      (options) =>
        options
          .positional('daemon', {
            type: 'string',
            describe: 'Name of the daemon; by default the one connected to',
          })
          .option('force', {
            type: 'boolean',
            default: false,
            describe: 'Drain even if the remaining targets could not handle the load',
          }),
      (args) => run(args, (context) => drainTarget(context, args.daemon, args.force)),
    )
    .command(
      'freshness <addresses..>',
      "Show how old daemons' knowledge of the configuration is, from their metrics",
      (options) =>
        options.positional('addresses', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'IP:PORT of the metrics of daemons',
        }),
      (args) => run(args, (context) => showFreshness(context, args.addresses)),
    )
    .command(
      'status',
      'Show the state of the daemon and the daemons behind a policy revision',
      (options) =>
        options.option(
          'revision',
          optionalWholeNumber(
            'revision',
            "Revision to compare with; by default that of the store's head",
          ),
        ),
      (args) => run(args, (context) => showStatus(context, args.revision)),
    )
    .command(
      'explain [id]',
      'Show why calls were refused, and the current limits',
      (options) =>
        options
          .positional('id', {
            type: 'string',
            describe: 'Call or root request; by default the latest refusals',
          })
          .option(
            'limit',
            positiveWholeNumberWithDefault('limit', 'At most 200', DEFAULT_REFUSAL_LIMIT),
          ),
      (args) => run(args, (context) => explainRefusals(context, args.id, args.limit)),
    );
}
