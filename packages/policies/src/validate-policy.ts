import { callClassRank } from '@daisyferry/model/call-class';
import { servicePolicySchema, type MethodRule, type ServicePolicy } from '@daisyferry/model/policy';
import {
  checkDocument,
  type ValidationResult,
  type Problem,
} from '@daisyferry/settings/check-document';

/** Keeps every stored value well below one megabyte. */
export const MAX_DOCUMENT_BYTES = 131_072;

const SEGMENTS_PATTERN = /^(\/[^/?#\s]+)*\/?$/;
const DOT_SEGMENT_PATTERN = /\/\.{1,2}(\/|$)/;

type PolicyCheck = (policy: ServicePolicy) => readonly Problem[];

function createProblem(path: string, value: unknown, expected: string): Problem {
  return { path, value: JSON.stringify(value), expected };
}

function methodPath(index: number, field: keyof MethodRule): string {
  return `methods[${index}].${field}`;
}

/** Reports one problem for each method whose key duplicates that of an earlier method. */
function findDuplicates(
  policy: ServicePolicy,
  field: 'name' | 'pathPrefix',
  keyOf: (rule: MethodRule) => string,
  expected: string,
): readonly Problem[] {
  const seen = new Map<string, number>();
  return policy.methods.flatMap((rule, index) => {
    const first = seen.get(keyOf(rule));
    if (first === undefined) {
      seen.set(keyOf(rule), index);
      return [];
    }
    return [createProblem(methodPath(index, field), rule[field], `${expected} methods[${first}]`)];
  });
}

const checkDuplicateNames: PolicyCheck = (policy) =>
  findDuplicates(policy, 'name', ({ name }) => name, 'a name other than that of');

const checkDuplicateMatches: PolicyCheck = (policy) =>
  findDuplicates(
    policy,
    'pathPrefix',
    ({ httpMethod, pathPrefix }) => `${httpMethod ?? '*'} ${pathPrefix.replace(/\/+$/, '')}`,
    'another HTTP method or path than',
  );

const checkPaths: PolicyCheck = ({ methods }) =>
  methods.flatMap(({ pathPrefix }, index) => {
    const isValid = SEGMENTS_PATTERN.test(pathPrefix) && !DOT_SEGMENT_PATTERN.test(pathPrefix);
    const expected = 'a path of segments, without empty or dot segments, query or space';
    return isValid ? [] : [createProblem(methodPath(index, 'pathPrefix'), pathPrefix, expected)];
  });

const checkDeadlines: PolicyCheck = ({ methods }) =>
  methods.flatMap(({ defaultDeadlineMs, maxDeadlineMs }, index) => {
    if (defaultDeadlineMs <= maxDeadlineMs) return [];
    const expected = `at most maxDeadlineMs (${maxDeadlineMs})`;
    return [createProblem(methodPath(index, 'defaultDeadlineMs'), defaultDeadlineMs, expected)];
  });

/** A non-idempotent method must not be shed before an idempotent one. */
const checkSheddingOrder: PolicyCheck = ({ methods }) => {
  const rankOf = (rule: MethodRule) => callClassRank(rule.class) ?? 0;
  const [mostCritical] = methods
    .filter(({ idempotent }) => idempotent)
    .sort((left, right) => rankOf(left) - rankOf(right));
  if (mostCritical === undefined) return [];
  return methods.flatMap((rule, index) => {
    if (rule.idempotent || rankOf(rule) <= rankOf(mostCritical)) return [];
    const expected = `'${mostCritical.class}' or more critical: the method is not idempotent and would be shed before the idempotent '${mostCritical.name}'`;
    return [createProblem(methodPath(index, 'class'), rule.class, expected)];
  });
};

/** HTTP methods that the HTTP specification defines as idempotent. */
const IDEMPOTENT_HTTP_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE']);

/** A call that may move money must not be declared idempotent. */
const checkMoneyIdempotency: PolicyCheck = ({ methods }) =>
  methods.flatMap((rule, index) => {
    const isIdempotentByHttp =
      rule.httpMethod !== undefined && IDEMPOTENT_HTTP_METHODS.has(rule.httpMethod);
    if (rule.class !== 'money' || !rule.idempotent || isIdempotentByHttp) return [];
    const expected = `false: ${rule.httpMethod ?? 'any HTTP method'} of class money must run at most once`;
    return [createProblem(methodPath(index, 'idempotent'), rule.idempotent, expected)];
  });

function longestDeadlineMs({ methods }: ServicePolicy): number {
  return Math.max(...methods.map(({ maxDeadlineMs }) => maxDeadlineMs));
}

const checkTicketLifetime: PolicyCheck = (policy) => {
  const { lifetimeMs } = policy.tickets;
  const longestMs = longestDeadlineMs(policy);
  if (lifetimeMs >= longestMs) return [];
  const expected = `at least the longest maxDeadlineMs (${longestMs})`;
  return [createProblem('tickets.lifetimeMs', lifetimeMs, expected)];
};

const checkDrainWait: PolicyCheck = (policy) => {
  const { maxWaitMs, noNewWorkAfterMs } = policy.drain;
  const longestMs = noNewWorkAfterMs + longestDeadlineMs(policy);
  if (maxWaitMs >= longestMs) return [];
  const expected = `at least noNewWorkAfterMs and the longest maxDeadlineMs (${longestMs}), so that a planned stop cuts off no call`;
  return [createProblem('drain.maxWaitMs', maxWaitMs, expected)];
};

const checkQueueDelay: PolicyCheck = ({ limits }) => {
  const { queueDelayTargetMs, maxQueueMs } = limits;
  if (queueDelayTargetMs <= maxQueueMs) return [];
  const expected = `at most maxQueueMs (${maxQueueMs})`;
  return [createProblem('limits.queueDelayTargetMs', queueDelayTargetMs, expected)];
};

const checkDocumentSize: PolicyCheck = (policy) => {
  const lengthBytes = Buffer.byteLength(JSON.stringify(policy));
  if (lengthBytes <= MAX_DOCUMENT_BYTES) return [];
  return [createProblem('', lengthBytes, `a document of at most ${MAX_DOCUMENT_BYTES} bytes`)];
};

const CHECKS: readonly PolicyCheck[] = [
  checkDuplicateNames,
  checkDuplicateMatches,
  checkPaths,
  checkDeadlines,
  checkSheddingOrder,
  checkMoneyIdempotency,
  checkTicketLifetime,
  checkDrainWait,
  checkQueueDelay,
  checkDocumentSize,
];

/**
 * Validates a policy document against the schema, then against the rules that span fields. A
 * document with any problem is refused as a whole; every problem is reported by its path.
 */
export function validatePolicy(document: unknown): ValidationResult<ServicePolicy> {
  const checked = checkDocument(servicePolicySchema, document);
  if (!checked.ok) return checked;
  const problems = CHECKS.flatMap((check) => check(checked.value));
  return problems.length === 0 ? checked : { ok: false, problems };
}
