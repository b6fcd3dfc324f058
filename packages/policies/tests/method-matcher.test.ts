import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import { matchMethod } from '../src/method-matcher';
import { servicePolicy, methodRule } from './policy-fixtures';

function withoutHttpMethod({ httpMethod, ...rest }: MethodRule): MethodRule {
  return rest;
}

const examplePolicy = servicePolicy({
  methods: [
    methodRule({ name: 'any', pathPrefix: '/' }),
    methodRule({ name: 'entries', pathPrefix: '/entries' }),
    methodRule({ name: 'post-entry', httpMethod: 'POST', pathPrefix: '/entries/' }),
    methodRule({ name: 'entry-audit', pathPrefix: '/entries/audit' }),
  ].map((entry) => (entry.httpMethod === 'POST' ? entry : withoutHttpMethod(entry))),
});

/** Reference implementation: whole segments, longest prefix, then the rule's HTTP method. */
function referenceMatch(policy: ServicePolicy, httpMethod: string, path: string) {
  const segments = (text: string) => text.split('/').filter((segment) => segment !== '');
  const wanted = segments(path);
  const matching = policy.methods.filter(
    (entry) =>
      (entry.httpMethod ?? httpMethod) === httpMethod &&
      segments(entry.pathPrefix).every((segment, index) => wanted[index] === segment),
  );
  const score = (entry: MethodRule) =>
    2 * segments(entry.pathPrefix).length + (entry.httpMethod === undefined ? 0 : 1);
  return matching.sort((left, right) => score(right) - score(left))[0];
}

const requestPath = fc
  .array(fc.constantFrom('a', 'b', 'ab'), { maxLength: 3 })
  .map((segments) => `/${segments.join('/')}`);
const httpMethod = fc.constantFrom('GET', 'POST' as const);

const generatedPolicies = fc
  .uniqueArray(fc.tuple(fc.option(httpMethod, { nil: undefined }), requestPath), {
    selector: (key) => JSON.stringify(key),
    minLength: 1,
    maxLength: 8,
  })
  .map((keys) =>
    servicePolicy({
      methods: keys.map(([method, pathPrefix], index) => {
        const entry = withoutHttpMethod(methodRule({ name: `m${index}`, pathPrefix }));
        return method === undefined ? entry : { ...entry, httpMethod: method };
      }),
    }),
  );

describe('method matching', () => {
  it.each([
    { method: 'GET', path: '/entries', name: 'entries' },
    { method: 'POST', path: '/entries', name: 'post-entry' },
    { method: 'POST', path: '/entries/7?x=/entries/audit', name: 'post-entry' },
    { method: 'POST', path: '/entries/audit/1', name: 'entry-audit' },
    { method: 'GET', path: '/entriesx', name: 'any' },
    { method: 'GET', path: '/', name: 'any' },
    { method: 'GET', path: '/?q', name: 'any' },
  ])('$method $path matches the rule $name', ({ method, path, name }) => {
    expect(matchMethod(examplePolicy, method, path)?.name).toBe(name);
  });

  it('returns undefined if no rule matches', () => {
    expect(matchMethod(servicePolicy(), 'POST', '/rates')).toBeUndefined();
    expect(matchMethod(servicePolicy(), 'GET', '/other')).toBeUndefined();
  });

  it.each(['//entries', '/x/../entries', '/entries/.', '/entries%2faudit', '/%2E%2e/entries'])(
    'returns undefined for %s, which a target may normalize to another path',
    (path) => {
      expect(matchMethod(examplePolicy, 'POST', path)).toBeUndefined();
    },
  );

  it('matches a path with harmless percent encoding and dots', () => {
    expect(matchMethod(examplePolicy, 'GET', '/entries/a%20b/.well-known/v1.2')?.name).toBe(
      'entries',
    );
  });

  it('agrees with the reference implementation', () => {
    fc.assert(
      fc.property(generatedPolicies, httpMethod, requestPath, (generatedPolicy, method, path) => {
        expect(matchMethod(generatedPolicy, method, path)).toBe(
          referenceMatch(generatedPolicy, method, path),
        );
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
