import { ExchangeHandler } from '@daisyferry/daemon/exchange-handler';
import type { ExchangeResult } from '@daisyferry/daemon/http-exchange';
import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Dispatcher } from 'undici';
import { expect, it } from 'vitest';

const BODY_BYTES = 1_000_000;
const READ_BYTES = 50_000;
const MAX_MEMORY_RATIO = 2;
const LIMITS = { maxBufferedBytes: 2 * BODY_BYTES, bufferUnknownLength: true };

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

async function usedBytes(): Promise<number> {
  for (let count = 0; count < 3; count += 1) {
    collectGarbage();
    await setImmediate();
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

// Guards against a daemon that ends at its heap limit for responses in small chunks (LOST).
it('holds at most twice the bytes of a response that arrives in chunks of one byte', async () => {
  const controller = {} as Dispatcher.DispatchController;
  let result: ExchangeResult | undefined;
  const handler = new ExchangeHandler(LIMITS, (resolved) => {
    result = resolved;
  });
  handler.onRequestStart(controller);
  handler.onResponseStart(controller, 200, {});
  const before = await usedBytes();
  for (let from = 0; from < BODY_BYTES; from += READ_BYTES) {
    const read = Buffer.alloc(READ_BYTES, 'x');
    for (let position = 0; position < READ_BYTES; position += 1)
      handler.onResponseData(controller, read.subarray(position, position + 1));
  }
  expect((await usedBytes()) - before).toBeLessThan(MAX_MEMORY_RATIO * BODY_BYTES);
  handler.onResponseEnd();
  expect(result).toMatchObject({ body: { bytes: { length: BODY_BYTES } } });
});
