import { Code, ConnectError } from '@connectrpc/connect';
import { isUnsent } from './connection-failure';
import { ExitCode, type ExitCodeNumber } from './exit-code';
import { InputError } from './input-error';

export interface Failure {
  readonly exitCode: ExitCodeNumber;
  readonly message: string;
}

const EXIT_CODES: ReadonlyMap<Code, ExitCodeNumber> = new Map([
  [Code.InvalidArgument, ExitCode.badInput],
  [Code.ResourceExhausted, ExitCode.badInput],
  [Code.PermissionDenied, ExitCode.refused],
  [Code.Unauthenticated, ExitCode.refused],
  [Code.FailedPrecondition, ExitCode.refused],
  [Code.NotFound, ExitCode.notFound],
  [Code.Unavailable, ExitCode.unreachable],
  [Code.DeadlineExceeded, ExitCode.unreachable],
  [Code.Aborted, ExitCode.unreachable],
]);

/** Says how a failed command ends: its exit code and the message for the operator. */
export function failureOf(error: unknown): Failure {
  if (error instanceof InputError) return { exitCode: ExitCode.badInput, message: error.message };
  if (isUnsent(error)) {
    const { rawMessage } = ConnectError.from(error);
    return { exitCode: ExitCode.unreachable, message: `no daemon answers: ${rawMessage.trim()}` };
  }
  if (error instanceof ConnectError) {
    const exitCode = EXIT_CODES.get(error.code) ?? ExitCode.internal;
    return { exitCode, message: error.rawMessage };
  }
  return { exitCode: ExitCode.internal, message: String(error) };
}
