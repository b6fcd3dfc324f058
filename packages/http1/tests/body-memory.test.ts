import { BodyReader } from '@daisyferry/http1/body-reader';
import { setImmediate } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { beforeAll, describe, expect, it } from 'vitest';

const BODY_BYTES = 4_000_000;
/** Size of a full read from a socket. */
const READ_BYTES = 65_536;
/** The memory of buffers that were collected is freed some time later. */
const COLLECTIONS = 3;
/** Memory of a body in small chunks relative to that of the same body in one piece. */
const MAX_MEMORY_RATIO = 2;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

async function usedBytes(): Promise<number> {
  for (let count = 0; count < COLLECTIONS; count += 1) {
    collectGarbage();
    await setImmediate();
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Body of `BODY_BYTES` bytes, in chunks of `chunkBytes` with an extension of `extensionBytes`. */
function chunksOf(chunkBytes: number, extensionBytes: number): Buffer {
  const extension = extensionBytes === 0 ? '' : `;${'e'.repeat(extensionBytes)}`;
  const chunk = `${chunkBytes.toString(16)}${extension}\r\n${'x'.repeat(chunkBytes)}\r\n`;
  return Buffer.from(chunk.repeat(BODY_BYTES / chunkBytes));
}

/** Memory that a reader uses after it has read the bytes, each read in memory of its own. */
async function memoryOf(reader: BodyReader, bytes: Buffer): Promise<number> {
  const before = await usedBytes();
  for (let from = 0; from < bytes.length; from += READ_BYTES) {
    const read = Buffer.allocUnsafeSlow(Math.min(READ_BYTES, bytes.length - from));
    bytes.copy(read, 0, from);
    reader.read(read, 0);
  }
  const after = await usedBytes();
  expect(reader.receivedBytes).toBe(BODY_BYTES);
  return after - before;
}

// Guards against a daemon that ends at its heap limit for a response without an end, in small chunks
// (LOST).
describe('memory of a body that is arriving', () => {
  beforeAll(async () => {
    // The first run also allocates what the code itself needs.
    await memoryOf(new BodyReader({ kind: 'chunked' }), chunksOf(1, 0));
  });

  it.each([
    [1, 0],
    [10, 100],
    [100, 0],
    [1_000, 4_000],
    [50_000, 0],
  ])(
    'stays within twice its bytes in chunks of %i with extensions of %i',
    async (chunk, extension) => {
      const piece = new BodyReader({ kind: 'untilClose' });
      const inOnePiece = await memoryOf(piece, Buffer.alloc(BODY_BYTES));
      const reader = new BodyReader({ kind: 'chunked' });
      const inChunks = await memoryOf(reader, chunksOf(chunk, extension));
      expect(inChunks).toBeLessThan(MAX_MEMORY_RATIO * inOnePiece);
      expect(reader.heldBytes).toBeLessThan(MAX_MEMORY_RATIO * BODY_BYTES);
      expect(reader.heldBytes).toBeGreaterThanOrEqual(BODY_BYTES);
    },
  );
});
