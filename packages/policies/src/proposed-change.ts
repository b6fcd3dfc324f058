import { createHash } from 'node:crypto';
import { servicePolicySchema, type ServicePolicy } from '@daisyferry/model/policy';
import {
  checkDocument,
  type ValidationResult,
  type Problem,
} from '@daisyferry/settings/check-document';
import { z } from 'zod';
import { validatePolicy } from './validate-policy';

const MAX_AUTHOR_CHARACTERS = 256;

/** Fields common to both kinds of change. */
export interface ChangeRequest {
  /** Chosen by the operator's client, unique per change; makes a retry idempotent. */
  readonly operationId: string;
  /** Revision of the service's record that the change is based on; 0 if none may exist. */
  readonly expectedRevision: number;
  readonly author: string;
}

export interface ProposedPolicy extends ChangeRequest {
  /** The complete new document, not yet validated. */
  readonly document: unknown;
  /** Validates the change without writing it. */
  readonly dryRun: boolean;
}

export interface ProposedWithdrawal extends ChangeRequest {
  readonly service: string;
  readonly dryRun: boolean;
}

/** A change whose arguments and document are valid. */
export interface ValidatedProposal extends ChangeRequest {
  readonly service: string;
  /** Null withdraws the policy. */
  readonly policy: ServicePolicy | null;
  /** Distinguishes different changes with the same operation identifier. */
  readonly digest: string;
}

export const operationIdSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/);

const changeRequestSchema = z.object({
  operationId: operationIdSchema,
  expectedRevision: z.int().min(0),
  author: z.string().min(1).max(MAX_AUTHOR_CHARACTERS),
});

const withdrawalSchema = changeRequestSchema.extend({ service: servicePolicySchema.shape.service });

function digestOf(service: string, policy: ServicePolicy | null, expectedRevision: number): string {
  const text = JSON.stringify([service, policy, expectedRevision]);
  return createHash('sha256').update(text).digest('base64url');
}

function problemsOf(checked: ValidationResult<unknown>): readonly Problem[] {
  return checked.ok ? [] : checked.problems;
}

/** Validates the arguments and the document, and reports all problems at once. */
export function validateProposal(proposal: ProposedPolicy): ValidationResult<ValidatedProposal> {
  const request = checkDocument(changeRequestSchema, proposal);
  const document = validatePolicy(proposal.document);
  if (!request.ok || !document.ok) {
    return { ok: false, problems: [...problemsOf(request), ...problemsOf(document)] };
  }
  const policy = document.value;
  const { service } = policy;
  const digest = digestOf(service, policy, request.value.expectedRevision);
  return { ok: true, value: { ...request.value, service, policy, digest } };
}

export function validateWithdrawal(
  proposal: ProposedWithdrawal,
): ValidationResult<ValidatedProposal> {
  const request = checkDocument(withdrawalSchema, proposal);
  if (!request.ok) return request;
  const { service, expectedRevision } = request.value;
  const digest = digestOf(service, null, expectedRevision);
  return { ok: true, value: { ...request.value, policy: null, digest } };
}
