import {
  positiveWholeNumberWithDefault,
  optionalWholeNumber,
  type CommonParser,
  type RunCommand,
} from './common-options';
import { applyPolicies, settleChange, withdrawPolicy } from './commands/policy-change';
import { diffPolicy, getPolicy, listPolicies, showPolicyHistory } from './commands/policy-read';

const DEFAULT_HISTORY_LIMIT = 20;

function addChangeOptions(parser: CommonParser) {
  return parser
    .option(
      'expected-revision',
      optionalWholeNumber(
        'expected-revision',
        'Revision that the change is based on; by default the one in force',
      ),
    )
    .option('operation-id', {
      type: 'string',
      describe: 'Identifier of the change; by default a new one',
    })
    .option('author', {
      type: 'string',
      describe: 'Author of the change; by default your user name',
    })
    .option('dry-run', {
      type: 'boolean',
      default: false,
      describe: 'Show what would change without writing it',
    });
}

function addReadCommands(parser: CommonParser, run: RunCommand) {
  return parser
    .command(
      'get <service>',
      'Print the policy of a service',
      (options) =>
        options
          .positional('service', { type: 'string', demandOption: true })
          .option(
            'revision',
            optionalWholeNumber('revision', 'An older revision of the service', 1),
          ),
      (args) => run(args, (context) => getPolicy(context, args.service, args.revision)),
    )
    .command(
      'list',
      'List the policies in force',
      (options) => options,
      (args) => run(args, listPolicies),
    )
    .command(
      'diff [file]',
      'Compare a file, or an older revision, with the policy in force',
      (options) =>
        options
          .positional('file', { type: 'string', describe: 'Policy document; - for stdin' })
          .option('service', { type: 'string', describe: 'Service to compare' })
          .option('revision', optionalWholeNumber('revision', 'Older revision to compare', 1)),
      (args) => {
        const { file, service, revision } = args;
        return run(args, (context) => diffPolicy(context, { file, service, revision }));
      },
    )
    .command(
      'history [service]',
      'List changes with their authors, latest first',
      (options) =>
        options
          .positional('service', { type: 'string' })
          .option('before', optionalWholeNumber('before', 'Only changes before this revision', 1))
          .option(
            'limit',
            positiveWholeNumberWithDefault('limit', 'At most 200', DEFAULT_HISTORY_LIMIT),
          ),
      (args) => {
        const { service, before, limit } = args;
        return run(args, (context) => showPolicyHistory(context, { service, before, limit }));
      },
    );
}

function addChangeCommands(parser: CommonParser, run: RunCommand) {
  return parser
    .command(
      'apply <files..>',
      'Apply policy documents, each as one change',
      (options) =>
        addChangeOptions(options).positional('files', {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'JSON files; - for stdin',
        }),
      (args) => run(args, (context) => applyPolicies(context, args.files, args)),
    )
    .command(
      'withdraw <service>',
      'Withdraw the policy of a service',
      (options) =>
        addChangeOptions(options).positional('service', { type: 'string', demandOption: true }),
      (args) => run(args, (context) => withdrawPolicy(context, args.service, args)),
    )
    .command(
      'settle <operation>',
      'Determine the outcome of an undecided change',
      (options) => options.positional('operation', { type: 'string', demandOption: true }),
      (args) => run(args, (context) => settleChange(context, args.operation)),
    );
}

/** Adds `policy` and its subcommands. */
export function addPolicyCommands(parser: CommonParser, run: RunCommand): void {
  parser.command('policy', 'Read and change the policies of services', (options) =>
    addChangeCommands(addReadCommands(options, run), run).demandCommand(
      1,
      'policy: a command is needed; --help lists them',
    ),
  );
}
