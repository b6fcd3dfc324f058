import { Code, ConnectError } from '@connectrpc/connect';
import { CliInputError } from './cli-input-error';
import { isConnectFailure } from './connection-failure';
import { CliExitCode, type CliExitCodeNumber } from './exit-code';

export interface CommandFailure {
  readonly exitCode: CliExitCodeNumber;
  readonly message: string;
}

const EXIT_CODE_BY_CONNECT_CODE: ReadonlyMap<Code, CliExitCodeNumber> = new Map([
  [Code.InvalidArgument, CliExitCode.badInput],
  [Code.ResourceExhausted, CliExitCode.badInput],
  [Code.PermissionDenied, CliExitCode.refused],
  [Code.Unauthenticated, CliExitCode.refused],
  [Code.FailedPrecondition, CliExitCode.refused],
  [Code.NotFound, CliExitCode.notFound],
  [Code.Unavailable, CliExitCode.unreachable],
  [Code.DeadlineExceeded, CliExitCode.unreachable],
  [Code.Aborted, CliExitCode.unreachable],
]);

/** Converts an error to the exit code and the message for the operator. */
export function toCommandFailure(error: unknown): CommandFailure {
  if (error instanceof CliInputError)
    return { exitCode: CliExitCode.badInput, message: error.message };
  if (isConnectFailure(error)) {
    const { rawMessage } = ConnectError.from(error);
    return {
      exitCode: CliExitCode.unreachable,
      message: `no daemon answers: ${rawMessage.trim()}`,
    };
  }
  if (error instanceof ConnectError) {
    const exitCode = EXIT_CODE_BY_CONNECT_CODE.get(error.code) ?? CliExitCode.internal;
    return { exitCode, message: error.rawMessage };
  }
  return { exitCode: CliExitCode.internal, message: String(error) };
}
