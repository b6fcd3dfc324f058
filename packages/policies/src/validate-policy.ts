import { callClassRank } from '@daisyferry/model/call-class';
import { servicePolicySchema, type MethodRule, type ServicePolicy } from '@daisyferry/model/policy';
import {
  checkDocument,
  type ValidationResult,
  type Problem,
} from '@daisyferry/settings/check-document';

/** Largest document, so that a stored value stays far below a megabyte. */
export const MAX_DOCUMENT_BYTES = 131_072;

const SEGMENTS_PATTERN = /^(\/[^/?#\s]+)*\/?$/;
const DOT_SEGMENT_PATTERN = /\/\.{1,2}(\/|$)/;

type Check = (policy: ServicePolicy) => readonly Problem[];

function problem(path: string, value: unknown, expected: string): Problem {
  return { path, value: JSON.stringify(value), expected };
}

function methodPath(index: number, field: keyof MethodRule): string {
  return `methods[${index}].${field}`;
}

/** One problem for each entry whose key an earlier entry has. */
function repeated(
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
    return [problem(methodPath(index, field), rule[field], `${expected} methods[${first}]`)];
  });
}

const checkNames: Check = (policy) =>
  repeated(policy, 'name', ({ name }) => name, 'a name other than that of');

const checkMatches: Check = (policy) =>
  repeated(
    policy,
    'pathPrefix',
    ({ httpMethod, pathPrefix }) => `${httpMethod ?? '*'} ${pathPrefix.replace(/\/+$/, '')}`,
    'another HTTP method or path than',
  );

const checkPaths: Check = ({ methods }) =>
  methods.flatMap(({ pathPrefix }, index) => {
    const isGood = SEGMENTS_PATTERN.test(pathPrefix) && !DOT_SEGMENT_PATTERN.test(pathPrefix);
    const expected = 'a path of segments, without empty or dot segments, query or space';
    return isGood ? [] : [problem(methodPath(index, 'pathPrefix'), pathPrefix, expected)];
  });

const checkDeadlines: Check = ({ methods }) =>
  methods.flatMap(({ defaultDeadlineMs, maxDeadlineMs }, index) => {
    if (defaultDeadlineMs <= maxDeadlineMs) return [];
    const expected = `at most maxDeadlineMs (${maxDeadlineMs})`;
    return [problem(methodPath(index, 'defaultDeadlineMs'), defaultDeadlineMs, expected)];
  });

/** What must run at most once is never shed before what may be repeated. */
const checkSheddingOrder: Check = ({ methods }) => {
  const rankOf = (rule: MethodRule) => callClassRank(rule.class) ?? 0;
  const [mostCritical] = methods
    .filter(({ idempotent }) => idempotent)
    .sort((left, right) => rankOf(left) - rankOf(right));
  if (mostCritical === undefined) return [];
  return methods.flatMap((rule, index) => {
    if (rule.idempotent || rankOf(rule) <= rankOf(mostCritical)) return [];
    const expected = `'${mostCritical.class}' or more critical: the method is not idempotent and would be shed before the idempotent '${mostCritical.name}'`;
    return [problem(methodPath(index, 'class'), rule.class, expected)];
  });
};

/** HTTP methods that HTTP itself defines as idempotent. */
const IDEMPOTENT_HTTP_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE']);

/** A call that may move money is never declared repeatable. */
const checkMoney: Check = ({ methods }) =>
  methods.flatMap((rule, index) => {
    const isRepeatable =
      rule.httpMethod !== undefined && IDEMPOTENT_HTTP_METHODS.has(rule.httpMethod);
    if (rule.class !== 'money' || !rule.idempotent || isRepeatable) return [];
    const expected = `false: ${rule.httpMethod ?? 'any HTTP method'} of class money must run at most once`;
    return [problem(methodPath(index, 'idempotent'), rule.idempotent, expected)];
  });

function longestDeadlineMs({ methods }: ServicePolicy): number {
  return Math.max(...methods.map(({ maxDeadlineMs }) => maxDeadlineMs));
}

const checkTickets: Check = (policy) => {
  const { lifetimeMs } = policy.tickets;
  const longestMs = longestDeadlineMs(policy);
  if (lifetimeMs >= longestMs) return [];
  const expected = `at least the longest maxDeadlineMs (${longestMs})`;
  return [problem('tickets.lifetimeMs', lifetimeMs, expected)];
};

const checkDrain: Check = (policy) => {
  const { maxWaitMs, noNewWorkAfterMs } = policy.drain;
  const longestMs = noNewWorkAfterMs + longestDeadlineMs(policy);
  if (maxWaitMs >= longestMs) return [];
  const expected = `at least noNewWorkAfterMs and the longest maxDeadlineMs (${longestMs}), so that a planned stop cuts off no call`;
  return [problem('drain.maxWaitMs', maxWaitMs, expected)];
};

const checkQueue: Check = ({ limits }) => {
  const { queueDelayTargetMs, maxQueueMs } = limits;
  if (queueDelayTargetMs <= maxQueueMs) return [];
  const expected = `at most maxQueueMs (${maxQueueMs})`;
  return [problem('limits.queueDelayTargetMs', queueDelayTargetMs, expected)];
};

const checkSize: Check = (policy) => {
  const lengthBytes = Buffer.byteLength(JSON.stringify(policy));
  if (lengthBytes <= MAX_DOCUMENT_BYTES) return [];
  return [problem('', lengthBytes, `a document of at most ${MAX_DOCUMENT_BYTES} bytes`)];
};

const CHECKS: readonly Check[] = [
  checkNames,
  checkMatches,
  checkPaths,
  checkDeadlines,
  checkSheddingOrder,
  checkMoney,
  checkTickets,
  checkDrain,
  checkQueue,
  checkSize,
];

/**
 * Checks a whole policy document: its form, then what its fields say together. A document with any
 * problem is refused as a whole; every problem is named by its path.
 */
export function validatePolicy(document: unknown): ValidationResult<ServicePolicy> {
  const checked = checkDocument(servicePolicySchema, document);
  if (!checked.ok) return checked;
  const problems = CHECKS.flatMap((check) => check(checked.value));
  return problems.length === 0 ? checked : { ok: false, problems };
}
