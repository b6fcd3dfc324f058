import { readdirSync, readFileSync } from 'node:fs';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { validatePolicy } from '../src/validate-policy';
import { servicePolicy, methodRule } from './policy-fixtures';

const EXAMPLES = new URL('../../../examples/', import.meta.url);
const payouts = methodRule({
  name: 'payouts',
  httpMethod: 'POST',
  pathPrefix: '/payouts',
  class: 'money',
  idempotent: false,
});

function problemPaths(document: unknown): readonly string[] {
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
    expect(problemPaths(JSON.parse(readFileSync(new URL(file, EXAMPLES), 'utf8')))).toEqual([]);
  });

  it.each([
    { what: 'no document', document: null, paths: [''] },
    { what: 'a list', document: [], paths: [''] },
    { what: 'an unknown field', document: { ...servicePolicy(), zone: 1 }, paths: ['zone'] },
    {
      what: 'errors in two fields',
      document: {
        ...servicePolicy(),
        service: 'Teller',
        methods: [{ ...methodRule(), class: 'urgent' }],
      },
      paths: ['service', 'methods[0].class'],
    },
    {
      what: 'a duplicate name',
      document: servicePolicy({ methods: [methodRule(), methodRule({ pathPrefix: '/other' })] }),
      paths: ['methods[1].name'],
    },
    {
      what: 'two methods that match the same calls',
      document: servicePolicy({
        methods: [methodRule(), methodRule({ name: 'again', pathPrefix: '/rates/' })],
      }),
      paths: ['methods[1].pathPrefix'],
    },
    {
      what: 'the same path with another HTTP method',
      document: servicePolicy({
        methods: [methodRule(), methodRule({ name: 'head', httpMethod: 'HEAD' })],
      }),
      paths: [],
    },
    ...['/a//b', '/a?b', '/a b', '/a/../b', '/.'].map((pathPrefix) => ({
      what: `the path ${pathPrefix}`,
      document: servicePolicy({ methods: [methodRule({ pathPrefix })] }),
      paths: ['methods[0].pathPrefix'],
    })),
    ...['/', '/a', '/a/', '/a/.well-known'].map((pathPrefix) => ({
      what: `the valid path ${pathPrefix}`,
      document: servicePolicy({ methods: [methodRule({ pathPrefix })] }),
      paths: [],
    })),
    {
      what: 'a default deadline above the maximum',
      document: servicePolicy({ methods: [methodRule({ defaultDeadlineMs: 10_001 })] }),
      paths: ['methods[0].defaultDeadlineMs'],
    },
    {
      what: 'a non-idempotent method more critical than every idempotent one',
      document: servicePolicy({
        methods: [methodRule({ class: 'background' }), { ...payouts, class: 'deferrable' }],
      }),
      paths: [],
    },
    {
      what: 'a payout shed before a rate check',
      document: servicePolicy({ methods: [methodRule(), { ...payouts, class: 'deferrable' }] }),
      paths: ['methods[1].class'],
    },
    {
      what: 'a payout in the same class as a rate check',
      document: servicePolicy({ methods: [methodRule(), { ...payouts, class: 'interactive' }] }),
      paths: [],
    },
    {
      what: 'a service with no idempotent method',
      document: servicePolicy({ methods: [{ ...payouts, class: 'background' }] }),
      paths: [],
    },
    {
      what: 'an idempotent payout',
      document: servicePolicy({ methods: [{ ...payouts, idempotent: true }] }),
      paths: ['methods[0].idempotent'],
    },
    {
      what: 'an idempotent read of class money',
      document: servicePolicy({ methods: [methodRule({ class: 'money' })] }),
      paths: [],
    },
    {
      what: 'tickets that expire before the longest deadline',
      document: servicePolicy({ tickets: { lifetimeMs: 9_999, maxAnswerBytes: 0 } }),
      paths: ['tickets.lifetimeMs'],
    },
    {
      what: 'a drain shorter than the longest call',
      document: servicePolicy({
        drain: { noNewWorkAfterMs: 2_000, maxWaitMs: 11_999, maxLeavingShare: 0.5 },
      }),
      paths: ['drain.maxWaitMs'],
    },
    {
      what: 'a queue delay target above the maximum queueing time',
      document: servicePolicy({
        limits: { queueDelayTargetMs: 301, maxQueueMs: 300, warmUpMs: 0 },
      }),
      paths: ['limits.queueDelayTargetMs'],
    },
  ])('reports the problems of $what', ({ document, paths }) => {
    expect(problemPaths(document)).toEqual(paths);
  });

  it('reports the value found and what was expected', () => {
    const checked = validatePolicy(
      servicePolicy({ methods: [methodRule({ defaultDeadlineMs: 20_000 })] }),
    );
    expect(checked).toMatchObject({
      problems: [{ value: '20000', expected: 'at most maxDeadlineMs (10000)' }],
    });
  });

  it('returns a policy or problems for any JSON and accepts a returned policy again', () => {
    const corruptedPolicy = fc
      .tuple(fc.constantFrom(...Object.keys(servicePolicy())), fc.jsonValue())
      .map(([field, value]) => ({ ...servicePolicy(), [field]: value }));
    const corruptedRule = fc
      .tuple(fc.constantFrom(...Object.keys(methodRule())), fc.jsonValue())
      .map(([field, value]) => ({
        ...servicePolicy(),
        methods: [{ ...methodRule(), [field]: value }],
      }));
    fc.assert(
      fc.property(fc.oneof(fc.jsonValue(), corruptedPolicy, corruptedRule), (document) => {
        const checked = validatePolicy(document);
        if (checked.ok) expect(validatePolicy(checked.value)).toEqual(checked);
        else expect(checked.problems.length).toBeGreaterThan(0);
      }),
      { seed: 11, numRuns: 1_000 },
    );
  });
});
