import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';

interface Candidate {
  readonly rule: MethodRule;
  /** The prefix without its trailing slash; empty for `/`. */
  readonly prefix: string;
}

const SLASH = 0x2f;

/** Sorts the more specific rule first: the longer prefix, then the rule with an HTTP method. */
function bySpecificity(left: Candidate, right: Candidate): number {
  if (left.prefix.length !== right.prefix.length) return right.prefix.length - left.prefix.length;
  return Number(right.rule.httpMethod !== undefined) - Number(left.rule.httpMethod !== undefined);
}

function stripQuery(pathAndQuery: string): string {
  const query = pathAndQuery.indexOf('?');
  return query === -1 ? pathAndQuery : pathAndQuery.slice(0, query);
}

const DOT_SEGMENT_PATTERN = /\/\.{1,2}(\/|$)/;
const ENCODED_SEPARATOR_PATTERN = /%(2e|2f|5c)/i;

/**
 * True for a path that a target may normalize to a different one: a path with empty or dot segments
 * or with percent-encoded dots or separators. Such a path matches no rule.
 */
function isAmbiguous(path: string): boolean {
  if (path.includes('//')) return true;
  if (path.includes('/.') && DOT_SEGMENT_PATTERN.test(path)) return true;
  return path.includes('%') && ENCODED_SEPARATOR_PATTERN.test(path);
}

function matchesPrefix(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return path.length === prefix.length || path.charCodeAt(prefix.length) === SLASH;
}

/** The rules of one policy, indexed for the lookup on the call path. */
class CompiledPolicy {
  private readonly byHttpMethod = new Map<string, readonly Candidate[]>();

  private readonly forAnyMethod: readonly Candidate[];

  constructor(policy: ServicePolicy) {
    const candidates = policy.methods
      .map((rule) => ({ rule, prefix: rule.pathPrefix.replace(/\/+$/, '') }))
      .sort(bySpecificity);
    this.forAnyMethod = candidates.filter(({ rule }) => rule.httpMethod === undefined);
    for (const { rule } of candidates) {
      const { httpMethod } = rule;
      if (httpMethod === undefined || this.byHttpMethod.has(httpMethod)) continue;
      const matching = candidates.filter(
        (candidate) =>
          candidate.rule.httpMethod === undefined || candidate.rule.httpMethod === httpMethod,
      );
      this.byHttpMethod.set(httpMethod, matching);
    }
  }

  match(httpMethod: string, path: string): MethodRule | undefined {
    const candidates = this.byHttpMethod.get(httpMethod) ?? this.forAnyMethod;
    for (const { rule, prefix } of candidates) {
      if (matchesPrefix(prefix, path)) return rule;
    }
    return undefined;
  }
}

const compiledPolicies = new WeakMap<ServicePolicy, CompiledPolicy>();

/**
 * Finds the rule of a call: the longest path prefix of whole segments wins, and among equal
 * prefixes the rule with an HTTP method. The query string in `path` is ignored. A path that a
 * target may normalize to a different one matches no rule.
 */
export function matchMethod(
  policy: ServicePolicy,
  httpMethod: string,
  path: string,
): MethodRule | undefined {
  let compiled = compiledPolicies.get(policy);
  if (compiled === undefined) {
    compiled = new CompiledPolicy(policy);
    compiledPolicies.set(policy, compiled);
  }
  const plainPath = stripQuery(path);
  return isAmbiguous(plainPath) ? undefined : compiled.match(httpMethod, plainPath);
}
