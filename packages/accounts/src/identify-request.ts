import type { ClientAccount } from '@daisyferry/mesh/client-account';
import type { AccountIndex } from './account-index';

/** Why a request is not attributed to an account. */
export const IdentificationProblem = {
  missingKey: 'missingKey',
  malformedKey: 'malformedKey',
  repeatedKey: 'repeatedKey',
  unknownKey: 'unknownKey',
  /** The knowledge of the configuration is too old: a key may have been withdrawn or added. */
  unprovenConfiguration: 'unprovenConfiguration',
} as const;

export type IdentificationProblemName =
  (typeof IdentificationProblem)[keyof typeof IdentificationProblem];

export type Identification =
  | { readonly kind: 'identified'; readonly account: ClientAccount }
  /** The request needs no key. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'refused'; readonly problem: IdentificationProblemName };

export interface IdentificationInput {
  readonly isPublicRoute: boolean;
  /** Values of all credential fields of the request, in order. */
  readonly credentials: readonly string[];
  /** False if a key may have been withdrawn longer ago than requests with it may run. */
  readonly isConfigurationProven: boolean;
}

const SCHEME = 'Bearer ';

function refused(problem: IdentificationProblemName): Identification {
  return { kind: 'refused', problem };
}

/**
 * Decides to which client account a request belongs. Load that it answers: callers that keep sending
 * with a key after it was withdrawn, and callers whose credentials are missing or garbled. A request
 * that an older configuration would refuse is not turned away for good while the knowledge of the
 * configuration is too old.
 */
export function identifyRequest(
  input: IdentificationInput,
  accounts: AccountIndex,
): Identification {
  const { isPublicRoute, credentials, isConfigurationProven } = input;
  if (isPublicRoute) return { kind: 'anonymous' };
  if (!isConfigurationProven) return refused(IdentificationProblem.unprovenConfiguration);
  const [credential] = credentials;
  if (credential === undefined) return refused(IdentificationProblem.missingKey);
  if (credentials.length > 1) return refused(IdentificationProblem.repeatedKey);
  if (!credential.startsWith(SCHEME)) return refused(IdentificationProblem.malformedKey);
  const account = accounts.find(credential.slice(SCHEME.length));
  if (account === undefined) return refused(IdentificationProblem.unknownKey);
  return { kind: 'identified', account };
}
