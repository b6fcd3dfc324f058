import { readdirSync, readFileSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { validatePolicy } from '../src/validate-policy';
import { policy, rule } from './policy-fixtures';

const EXAMPLES = new URL('../../../examples/', import.meta.url);
const payouts = rule({
  name: 'payouts',
  httpMethod: 'POST',
  pathPrefix: '/payouts',
  class: 'money',
  idempotent: false,
});

function pathsOf(document: unknown): readonly string[] {
  const checked = validatePolicy(document);
  return checked.ok ? [] : checked.problems.map(({ path }) => path);
}

describe('policy validation', () => {
  it.each(
    ['dorado', 'pelletier'].flatMap((deployment) =>
      readdirSync(new URL(`${deployment}/policies/`, EXAMPLES)).map((file) => ({
        file: `${deployment}/policies/${file}`,
      })),
    ),
  )('accepts the example $file', ({ file }) => {
    expect(pathsOf(JSON.parse(readFileSync(new URL(file, EXAMPLES), 'utf8')))).toEqual([]);
  });

  it.each([
    { what: 'no document', document: null, paths: [''] },
    { what: 'a list', document: [], paths: [''] },
    { what: 'an unknown field', document: { ...policy(), zone: 1 }, paths: ['zone'] },
    {
      what: 'faults in two places',
      document: { ...policy(), service: 'Teller', methods: [{ ...rule(), class: 'urgent' }] },
      paths: ['service', 'methods[0].class'],
    },
    {
      what: 'a name used twice',
      document: policy({ methods: [rule(), rule({ pathPrefix: '/other' })] }),
      paths: ['methods[1].name'],
    },
    {
      what: 'the same calls matched twice',
      document: policy({ methods: [rule(), rule({ name: 'again', pathPrefix: '/rates/' })] }),
      paths: ['methods[1].pathPrefix'],
    },
    {
      what: 'the same path by another HTTP method',
      document: policy({ methods: [rule(), rule({ name: 'head', httpMethod: 'HEAD' })] }),
      paths: [],
    },
    ...['/a//b', '/a?b', '/a b', '/a/../b', '/.'].map((pathPrefix) => ({
      what: `the path ${pathPrefix}`,
      document: policy({ methods: [rule({ pathPrefix })] }),
      paths: ['methods[0].pathPrefix'],
    })),
    ...['/', '/a', '/a/', '/a/.well-known'].map((pathPrefix) => ({
      what: `the good path ${pathPrefix}`,
      document: policy({ methods: [rule({ pathPrefix })] }),
      paths: [],
    })),
    {
      what: 'a default deadline past the greatest',
      document: policy({ methods: [rule({ defaultDeadlineMs: 10_001 })] }),
      paths: ['methods[0].defaultDeadlineMs'],
    },
    {
      what: 'a call shed before nothing more critical than background',
      document: policy({
        methods: [rule({ class: 'background' }), { ...payouts, class: 'deferrable' }],
      }),
      paths: [],
    },
    {
      what: 'a payout shed before a rate check',
      document: policy({ methods: [rule(), { ...payouts, class: 'deferrable' }] }),
      paths: ['methods[1].class'],
    },
    {
      what: 'a payout that is shed with a rate check',
      document: policy({ methods: [rule(), { ...payouts, class: 'interactive' }] }),
      paths: [],
    },
    {
      what: 'a service with no idempotent method',
      document: policy({ methods: [{ ...payouts, class: 'background' }] }),
      paths: [],
    },
    {
      what: 'a repeatable payout',
      document: policy({ methods: [{ ...payouts, idempotent: true }] }),
      paths: ['methods[0].idempotent'],
    },
    {
      what: 'a repeatable money read',
      document: policy({ methods: [rule({ class: 'money' })] }),
      paths: [],
    },
    {
      what: 'tickets that end before a call may',
      document: policy({ tickets: { lifetimeMs: 9_999, maxAnswerBytes: 0 } }),
      paths: ['tickets.lifetimeMs'],
    },
    {
      what: 'a drain that cuts off calls',
      document: policy({
        drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 11_999, maxLeavingShare: 0.5 },
      }),
      paths: ['drain.maxWaitMs'],
    },
    {
      what: 'a queue target past its bound',
      document: policy({ limits: { queueDelayTargetMs: 301, maxQueueMs: 300, warmUpMs: 0 } }),
      paths: ['limits.queueDelayTargetMs'],
    },
  ])('names the problems of $what', ({ document, paths }) => {
    expect(pathsOf(document)).toEqual(paths);
  });

  it('names the value found and what was expected', () => {
    const checked = validatePolicy(policy({ methods: [rule({ defaultDeadlineMs: 20_000 })] }));
    expect(checked).toMatchObject({
      problems: [{ value: '20000', expected: 'at most maxDeadlineMs (10000)' }],
    });
  });

  it('answers any JSON with a policy or with problems, and accepts what it returned', () => {
    const damaged = fc
      .tuple(fc.constantFrom(...Object.keys(policy())), fc.jsonValue())
      .map(([field, value]) => ({ ...policy(), [field]: value }));
    const damagedRule = fc
      .tuple(fc.constantFrom(...Object.keys(rule())), fc.jsonValue())
      .map(([field, value]) => ({ ...policy(), methods: [{ ...rule(), [field]: value }] }));
    fc.assert(
      fc.property(fc.oneof(fc.jsonValue(), damaged, damagedRule), (document) => {
        const checked = validatePolicy(document);
        if (checked.ok) expect(validatePolicy(checked.value)).toEqual(checked);
        else expect(checked.problems.length).toBeGreaterThan(0);
      }),
      { seed: 11, numRuns: 1_000 },
    );
  });
});
