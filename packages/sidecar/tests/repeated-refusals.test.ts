import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { TargetExchangeResult } from '@daisyferry/sidecar/target-connection';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';
import fc from 'fast-check';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { WrittenTarget } from './support/written-target';

const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
const BUDGET_BYTES = 1_000_000;
const SEED = 42;
const RUNS = 60;
/** Requests between the refusal and the second one with its id. */
const REQUESTS_BETWEEN = [0, 1, 16, 17, 40, 200];
const LATE_MS = 2;

/** Id fields of a refusal that is written once more. */
const CopyId = { old: 'old', none: 'none', both: 'both' } as const;
/** When it is written, relative to the response of the request in progress. */
const CopyTime = {
  before: 'before',
  behind: 'behind',
  late: 'late',
  whileIdle: 'whileIdle',
} as const;

interface Step {
  readonly id: number;
  readonly isRefused: boolean;
  /** A copy of the last refusal on the connection that has this age, in refusals. */
  readonly copy?: { readonly age: number; readonly id: string; readonly time: string } | undefined;
}

function responseTo(ids: readonly string[], isRefused: boolean): string {
  const status = isRefused ? '503 Service Unavailable' : '200 OK';
  const fields = ids.map((id) => `X-Id: ${id}\r\n`).join('');
  const notRun = isRefused ? 'X-Not-Run: 1\r\n' : '';
  const body = isRefused ? 'refused' : `ran ${ids[0] ?? ''}`;
  return `HTTP/1.1 ${status}\r\n${fields}X-Signature: s\r\n${notRun}Content-Length: ${body.length}\r\n\r\n${body}`;
}

const step: fc.Arbitrary<Step> = fc.record({
  id: fc.integer({ min: 1, max: 4 }),
  isRefused: fc.boolean(),
  copy: fc.option(
    fc.record({
      age: fc.integer({ min: 0, max: 2 }),
      id: fc.constantFrom(...Object.values(CopyId)),
      time: fc.constantFrom(...Object.values(CopyTime)),
    }),
    { nil: undefined },
  ),
});

describe('refusals that a target writes once more', () => {
  let target: WrittenTarget | undefined;

  afterEach(() => target?.close());

  /** Writes the response of a step, and the copy of an earlier refusal of the connection. */
  async function answer(socket: Socket, refusedIds: string[], id: string, now: Step) {
    const { copy, isRefused } = now;
    const oldId = refusedIds.at(-1 - (copy?.age ?? 0));
    const own = responseTo([id], isRefused);
    if (isRefused) refusedIds.push(id);
    if (copy === undefined || oldId === undefined) {
      socket.write(own);
      return;
    }
    const idsOf = { old: [oldId], none: [], both: [oldId, id] };
    const text = responseTo(idsOf[copy.id as keyof typeof idsOf], true);
    if (copy.time === CopyTime.before) socket.write(text + own);
    else if (copy.time === CopyTime.behind) socket.write(own + text);
    else if (copy.time === CopyTime.whileIdle) {
      socket.write(own);
      await sleep(LATE_MS);
      socket.write(text);
    } else {
      socket.write(text);
      await sleep(LATE_MS);
      socket.write(own);
    }
  }

  /** Requests that ran at the target although their result is a refusal. */
  async function falselyRefused(steps: readonly Step[]): Promise<string[]> {
    const refusedIds = new WeakMap<Socket, string[]>();
    let current = 0;
    target = new WrittenTarget((socket, request) => {
      const refused = refusedIds.get(socket) ?? [];
      refusedIds.set(socket, refused);
      const id = /X-Id: (.*)\r\n/.exec(request)?.[1] ?? '';
      const now = steps[current];
      if (now !== undefined) answer(socket, refused, id, now).catch(() => socket.destroy());
    });
    const pool = new TargetConnectionPool(
      { ip: '127.0.0.1', port: await target.listen() },
      FIELD_NAMES,
      () => performance.now(),
      new BufferBudget(BUDGET_BYTES),
      { discarded: () => undefined },
    );
    const wrong: string[] = [];
    for (const [index, { id, isRefused, copy }] of steps.entries()) {
      current = index;
      const message = [Buffer.from(`GET / HTTP/1.1\r\nX-Id: r${id}\r\n\r\n`)];
      const result = await new Promise<TargetExchangeResult>((resolve) => {
        pool.send(`r${id}`, false, message, resolve);
      });
      const isSeenAsRefused = result.kind === 'response' && result.response.status === 503;
      if (isSeenAsRefused && !isRefused) wrong.push(`request ${index}, r${id}`);
      if (copy?.time === CopyTime.whileIdle && index % 2 === 0) await sleep(2 * LATE_MS);
    }
    pool.destroyIdle();
    target.close();
    return wrong;
  }

  it('are not taken for the response to another request', async () => {
    const steps = fc.array(step, { minLength: 2, maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(steps, async (played) => {
        expect(await falselyRefused(played)).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  }, 60_000);

  it.each(REQUESTS_BETWEEN)(
    'are not taken for the response to the same request that is sent again after %i others',
    async (count) => {
      const others = Array.from({ length: count }, (_, index) => ({
        id: 10 + index,
        isRefused: false,
      }));
      const copy = { age: 0, id: CopyId.old, time: CopyTime.before };
      const again = { id: 1, isRefused: false, copy };
      expect(await falselyRefused([{ id: 1, isRefused: true }, ...others, again])).toEqual([]);
    },
  );
});
