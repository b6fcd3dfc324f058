import {
  countWithDefault,
  wholeNumber,
  type CommonParser,
  type RunCommand,
} from './common-options';
import { applyPolicies, settleChange, withdrawPolicy } from './commands/policy-change';
import { diffPolicy, getPolicy, listPolicies, policyHistory } from './commands/policy-read';

const DEFAULT_HISTORY = 20;

function changeOptions(parser: CommonParser) {
  return parser
    .option(
      'expected-revision',
      wholeNumber(
        'expected-revision',
        'Revision that the change is based on; by default the one in force now',
      ),
    )
    .option('operation-id', {
      type: 'string',
      describe: 'Identifier of the change; by default a fresh one',
    })
    .option('author', { type: 'string', describe: 'Who changes it; by default your user name' })
    .option('dry-run', {
      type: 'boolean',
      default: false,
      describe: 'Show what would change and write nothing',
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
          .option('revision', wholeNumber('revision', 'An older revision of the service', 1)),
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
          .option('revision', wholeNumber('revision', 'Older revision to compare', 1)),
      (args) => {
        const { file, service, revision } = args;
        return run(args, (context) => diffPolicy(context, { file, service, revision }));
      },
    )
    .command(
      'history [service]',
      'List who changed what, the latest change first',
      (options) =>
        options
          .positional('service', { type: 'string' })
          .option('before', wholeNumber('before', 'Only changes before this revision', 1))
          .option('limit', countWithDefault('limit', 'At most 200', DEFAULT_HISTORY)),
      (args) => {
        const { service, before, limit } = args;
        return run(args, (context) => policyHistory(context, { service, before, limit }));
      },
    );
}

function addChangeCommands(parser: CommonParser, run: RunCommand) {
  return parser
    .command(
      'apply <files..>',
      'Apply policy documents, each as one change',
      (options) =>
        changeOptions(options).positional('files', {
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
        changeOptions(options).positional('service', { type: 'string', demandOption: true }),
      (args) => run(args, (context) => withdrawPolicy(context, args.service, args)),
    )
    .command(
      'settle <operation>',
      'Find out what became of an undecided change',
      (options) => options.positional('operation', { type: 'string', demandOption: true }),
      (args) => run(args, (context) => settleChange(context, args.operation)),
    );
}

/** Adds `policy` and its commands. */
export function addPolicyCommands(parser: CommonParser, run: RunCommand): void {
  parser.command('policy', 'Read and change the policies of services', (options) =>
    addChangeCommands(addReadCommands(options, run), run).demandCommand(
      1,
      'policy: a command is needed; --help lists them',
    ),
  );
}
