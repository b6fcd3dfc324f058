import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { MethodRule, ServicePolicy } from '@daisyferry/model/policy';
import { matchMethod } from '../src/method-matcher';
import { policy, rule } from './policy-fixtures';

function withoutHttpMethod({ httpMethod, ...rest }: MethodRule): MethodRule {
  return rest;
}

const table = policy({
  methods: [
    rule({ name: 'any', pathPrefix: '/' }),
    rule({ name: 'entries', pathPrefix: '/entries' }),
    rule({ name: 'post-entry', httpMethod: 'POST', pathPrefix: '/entries/' }),
    rule({ name: 'entry-audit', pathPrefix: '/entries/audit' }),
  ].map((entry) => (entry.httpMethod === 'POST' ? entry : withoutHttpMethod(entry))),
});

/** The definition, word for word: whole segments, longest prefix, then the named HTTP method. */
function slowMatch(document: ServicePolicy, httpMethod: string, path: string) {
  const segments = (text: string) => text.split('/').filter((segment) => segment !== '');
  const wanted = segments(path);
  const matching = document.methods.filter(
    (entry) =>
      (entry.httpMethod ?? httpMethod) === httpMethod &&
      segments(entry.pathPrefix).every((segment, index) => wanted[index] === segment),
  );
  const score = (entry: MethodRule) =>
    2 * segments(entry.pathPrefix).length + (entry.httpMethod === undefined ? 0 : 1);
  return matching.sort((left, right) => score(right) - score(left))[0];
}

const path = fc
  .array(fc.constantFrom('a', 'b', 'ab'), { maxLength: 3 })
  .map((segments) => `/${segments.join('/')}`);
const httpMethod = fc.constantFrom('GET', 'POST' as const);

const document = fc
  .uniqueArray(fc.tuple(fc.option(httpMethod, { nil: undefined }), path), {
    selector: (key) => JSON.stringify(key),
    minLength: 1,
    maxLength: 8,
  })
  .map((keys) =>
    policy({
      methods: keys.map(([method, pathPrefix], index) => {
        const entry = withoutHttpMethod(rule({ name: `m${index}`, pathPrefix }));
        return method === undefined ? entry : { ...entry, httpMethod: method };
      }),
    }),
  );

describe('method matching', () => {
  it.each([
    { method: 'GET', target: '/entries', name: 'entries' },
    { method: 'POST', target: '/entries', name: 'post-entry' },
    { method: 'POST', target: '/entries/7?x=/entries/audit', name: 'post-entry' },
    { method: 'POST', target: '/entries/audit/1', name: 'entry-audit' },
    { method: 'GET', target: '/entriesx', name: 'any' },
    { method: 'GET', target: '/', name: 'any' },
    { method: 'GET', target: '/?q', name: 'any' },
  ])('$method $target takes the rule $name', ({ method, target, name }) => {
    expect(matchMethod(table, method, target)?.name).toBe(name);
  });

  it('finds none where no rule matches', () => {
    expect(matchMethod(policy(), 'POST', '/rates')).toBeUndefined();
    expect(matchMethod(policy(), 'GET', '/other')).toBeUndefined();
  });

  it.each(['//entries', '/x/../entries', '/entries/.', '/entries%2faudit', '/%2E%2e/entries'])(
    'finds none for %s, which a target may read as another path',
    (target) => {
      expect(matchMethod(table, 'POST', target)).toBeUndefined();
    },
  );

  it('finds the rule of a path with other percent encoding and dots', () => {
    expect(matchMethod(table, 'GET', '/entries/a%20b/.well-known/v1.2')?.name).toBe('entries');
  });

  it('agrees with the definition', () => {
    fc.assert(
      fc.property(document, httpMethod, path, (rules, method, target) => {
        expect(matchMethod(rules, method, target)).toBe(slowMatch(rules, method, target));
      }),
      { seed: 1, numRuns: 500 },
    );
  });
});
