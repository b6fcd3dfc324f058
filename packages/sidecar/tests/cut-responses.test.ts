import { BufferBudget } from '@daisyferry/mesh/buffer-budget';
import type { TargetExchangeResult } from '@daisyferry/sidecar/target-connection';
import { TargetConnectionPool } from '@daisyferry/sidecar/target-connection-pool';
import { afterEach, describe, expect, it } from 'vitest';
import { WrittenTarget } from './support/written-target';

const FIELD_NAMES = { requestId: 'x-id', signature: 'x-signature', notRun: 'x-not-run' };
const BUDGET_BYTES = 1_000_000;
const BODY = 'the body';
const FIELDS = 'X-Id: r\r\nX-Signature: s\r\n';
const SIZED = `HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const RESPONSES = {
  sized: SIZED,
  empty: `HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: 0\r\n\r\n`,
  bodiless: `HTTP/1.1 204 No Content\r\n${FIELDS}\r\n`,
  chunked: `HTTP/1.1 200 OK\r\n${FIELDS}Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n5\r\n body\r\n0\r\n\r\n`,
  unframed: `HTTP/1.1 200 OK\r\n${FIELDS}\r\n${BODY}`,
  interim: `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${SIZED}`,
};
const Ending = { end: 'end', reset: 'reset' } as const;

describe('responses that are cut short', () => {
  let target: WrittenTarget | undefined;

  afterEach(() => target?.close());

  /** Answers each of the requests with a longer part of the response, then ends the connection. */
  async function resultsOfCuts(
    response: string,
    ending: keyof typeof Ending,
    method: string,
  ): Promise<TargetExchangeResult[]> {
    let cut = -1;
    target = new WrittenTarget((socket) => {
      cut += 1;
      const part = response.slice(0, cut);
      const end = () => (ending === 'end' ? socket.end() : socket.resetAndDestroy());
      if (part === '') end();
      else socket.write(part, 'latin1', () => setImmediate(end));
    });
    const pool = new TargetConnectionPool(
      { ip: '127.0.0.1', port: await target.listen() },
      FIELD_NAMES,
      () => performance.now(),
      new BufferBudget(BUDGET_BYTES),
      { discarded: () => undefined },
    );
    const results: TargetExchangeResult[] = [];
    const message = [Buffer.from(`${method} / HTTP/1.1\r\n\r\n`)];
    for (let count = 0; count <= response.length; count += 1) {
      results.push(
        await new Promise((resolve) => {
          pool.send('r', method === 'HEAD', message, resolve);
        }),
      );
    }
    return results;
  }

  for (const ending of Object.values(Ending)) {
    for (const method of ['GET', 'POST', 'HEAD']) {
      it.each(Object.entries(RESPONSES))(
        `are no whole response to ${method} by ${ending} at any byte: %s`,
        async (_, response) => {
          const results = await resultsOfCuts(response, ending, method);
          const headBytes = response.lastIndexOf('\r\n\r\n') + 4;
          const bodyStart = response.indexOf('\r\n\r\n', response.indexOf('200')) + 4;
          results.forEach((result, cut) => {
            if (result.kind !== 'response') return;
            const wholeBytes = method === 'HEAD' ? Math.min(bodyStart, headBytes) : response.length;
            if (result.response.endsWithConnection) {
              expect(ending).toBe(Ending.end);
              expect(cut).toBeGreaterThanOrEqual(headBytes);
            } else {
              expect(cut).toBeGreaterThanOrEqual(wholeBytes);
            }
          });
          if (response !== RESPONSES.unframed) expect(results.at(-1)?.kind).toBe('response');
        },
        30_000,
      );
    }
  }
});
