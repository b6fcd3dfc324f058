import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJson } from '@bufbuild/protobuf';
import type { AdminClient, CliEnvironment, ConnectionOptions } from './environment';
import { ExitCode, type ExitCodeNumber } from './exit-code';

/** Options that every command takes. */
export interface CommonOptions extends ConnectionOptions {
  readonly json: boolean;
}

/** What one command works with: the daemon, the outputs, and the exit code that it sets. */
export class CommandContext {
  exitCode: ExitCodeNumber = ExitCode.ok;

  constructor(
    readonly environment: CliEnvironment,
    private readonly options: CommonOptions,
  ) {}

  client(): AdminClient {
    return this.environment.connect(this.options);
  }

  /** Prints an answer: as JSON if that is asked for, else the text. */
  answer<Schema extends DescMessage>(
    schema: Schema,
    message: MessageShape<Schema>,
    text: string,
  ): void {
    if (this.options.json) this.printJson(toJson(schema, message, { alwaysEmitImplicit: true }));
    else this.print(text);
  }

  /** Prints a value that no daemon answered. */
  report(value: unknown, text: string): void {
    if (this.options.json) this.printJson(value);
    else this.print(text);
  }

  /** Ends the command with a code other than 0 and a reason on the error output. */
  fail(exitCode: ExitCodeNumber, reason: string): void {
    this.exitCode = exitCode;
    this.environment.writeError(`${reason}\n`);
  }

  private print(text: string): void {
    if (text !== '') this.environment.writeOutput(`${text}\n`);
  }

  private printJson(value: unknown): void {
    this.environment.writeOutput(`${JSON.stringify(value, null, 2)}\n`);
  }
}
