import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { toJson } from '@bufbuild/protobuf';
import type { AdminClient, CliEnvironment, ConnectionOptions } from './environment';
import { CliExitCode, type CliExitCodeNumber } from './exit-code';

/** Options shared by all commands. */
export interface CommonOptions extends ConnectionOptions {
  readonly json: boolean;
}

/** Gives a command access to the daemon and the outputs, and holds its exit code. */
export class CommandContext {
  exitCode: CliExitCodeNumber = CliExitCode.ok;

  constructor(
    readonly environment: CliEnvironment,
    private readonly options: CommonOptions,
  ) {}

  client(): AdminClient {
    return this.environment.connect(this.options);
  }

  /** Reads the metrics of a daemon at `IP:PORT`; undefined if they cannot be read in time. */
  readMetrics(address: string): Promise<string | undefined> {
    return this.environment.readMetrics(address, this.options.timeoutMs);
  }

  /** Prints a daemon's response as JSON if `--json` is set, otherwise as the given text. */
  printResponse<Schema extends DescMessage>(
    schema: Schema,
    response: MessageShape<Schema>,
    text: string,
  ): void {
    if (this.options.json) this.printJson(toJson(schema, response, { alwaysEmitImplicit: true }));
    else this.print(text);
  }

  /** Prints a local value as JSON if `--json` is set, otherwise as the given text. */
  printValue(value: unknown, text: string): void {
    if (this.options.json) this.printJson(value);
    else this.print(text);
  }

  /** Sets a non-zero exit code and writes the reason to standard error. */
  fail(exitCode: CliExitCodeNumber, reason: string): void {
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
