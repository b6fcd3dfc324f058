import {
  countWithDefault,
  wholeNumber,
  type CommonParser,
  type RunCommand,
} from './common-options';
import { drainTarget, explainRefusals, listMembers, showStatus } from './commands/fleet';

const DEFAULT_REFUSALS = 20;

/** Adds the commands about daemons and their targets. */
export function addFleetCommands(parser: CommonParser, run: RunCommand): void {
  parser
    .command(
      'members',
      'List the members that the daemon knows',
      (options) => options.option('service', { type: 'string', describe: 'Only this service' }),
      (args) => run(args, (context) => listMembers(context, args.service)),
    )
    .command(
      'drain [daemon]',
      'Make the target beside a daemon leave service',
      (options) =>
        options
          .positional('daemon', { type: 'string', describe: 'By default the daemon asked' })
          .option('force', {
            type: 'boolean',
            default: false,
            describe: 'Leave even if the rest of the service could not carry the load',
          }),
      (args) => run(args, (context) => drainTarget(context, args.daemon, args.force)),
    )
    .command(
      'status',
      'Show the state of the daemon and which daemons lag behind a revision',
      (options) =>
        options.option(
          'revision',
          wholeNumber('revision', "Revision to compare with; by default that of the store's head"),
        ),
      (args) => run(args, (context) => showStatus(context, args.revision)),
    )
    .command(
      'explain [id]',
      'Show why calls were refused, and the limits at present',
      (options) =>
        options
          .positional('id', { type: 'string', describe: 'Call or root; by default the latest' })
          .option('limit', countWithDefault('limit', 'At most 200', DEFAULT_REFUSALS)),
      (args) => run(args, (context) => explainRefusals(context, args.id, args.limit)),
    );
}
