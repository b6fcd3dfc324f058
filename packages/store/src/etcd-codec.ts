import type { KeyQuery } from './key-query';
import type { Compare, WatchEvent, WriteOperation } from './key-value-store';

/** Encodes a key or value as the JSON interface of etcd represents bytes. */
export function toBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

export function fromBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** Returns the first key after the prefix; a zero byte stands for the end of the key space. */
function prefixEnd(prefix: string): Buffer {
  const bytes = Buffer.from(prefix, 'utf8');
  for (let index = bytes.length - 1; index >= 0; index -= 1) {
    const byte = bytes[index] ?? 0;
    if (byte < 0xff) {
      const end = bytes.subarray(0, index + 1);
      end[index] = byte + 1;
      return end;
    }
  }
  return Buffer.from([0]);
}

interface KeyRange {
  readonly key: string;
  readonly range_end?: string;
}

export function encodeKeyRange({ key, prefix, after }: KeyQuery): KeyRange {
  const start = after === undefined ? key : `${after}\0`;
  if (prefix !== true) return { key: toBase64(start) };
  return { key: toBase64(start), range_end: prefixEnd(key).toString('base64') };
}

export function encodeCompare({ key, modRevision }: Compare): object {
  return {
    key: toBase64(key),
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(modRevision),
  };
}

export function encodeWrite(write: WriteOperation): object {
  if (write.kind === 'delete') return { request_delete_range: { key: toBase64(write.key) } };
  const { key, value, leaseId } = write;
  const lease = leaseId === undefined ? {} : { lease: leaseId };
  return { request_put: { key: toBase64(key), value: toBase64(value), ...lease } };
}

/** An event of a watch response; etcd omits fields that have their default value. */
export interface EncodedEvent {
  readonly type?: string | undefined;
  readonly kv: {
    readonly key: string;
    readonly value?: string | undefined;
    readonly mod_revision?: string | undefined;
  };
}

export function decodeEvent({ type, kv }: EncodedEvent): WatchEvent {
  return {
    kind: type === 'DELETE' ? 'delete' : 'put',
    key: fromBase64(kv.key),
    value: fromBase64(kv.value ?? ''),
    modRevision: Number(kv.mod_revision ?? 0),
  };
}
