import { fromBase64, toBase64 } from '../etcd-codec';
import type { KeyQuery } from '../key-query';
import type { WatchEvent, WriteOperation } from '../key-value-store';
import type { EncodedKeyRange, EncodedWrite } from './stand-in-requests';

const NUL = '\0';

/** Derives a prefix from the end of its range by decrementing the last byte. */
function prefixOf(rangeEnd: string): string {
  const bytes = Buffer.from(rangeEnd, 'base64');
  const last = bytes.length - 1;
  bytes[last] = (bytes[last] ?? 1) - 1;
  return bytes.toString('utf8');
}

/** Decodes a key range: one key, a prefix, or the keys of a prefix after a given key. */
export function decodeKeyRange({ key, range_end: rangeEnd }: EncodedKeyRange): KeyQuery {
  const start = fromBase64(key);
  if (rangeEnd === undefined || rangeEnd === '') return { key: start };
  const prefix = prefixOf(rangeEnd);
  if (start === prefix) return { key: prefix, prefix: true };
  const after = start.endsWith(NUL) ? start.slice(0, -1) : start;
  return { key: prefix, prefix: true, after };
}

export function decodeWrite(write: EncodedWrite): WriteOperation {
  if ('request_delete_range' in write) {
    return { kind: 'delete', key: fromBase64(write.request_delete_range.key) };
  }
  const { key, value, lease } = write.request_put;
  const put = { kind: 'put', key: fromBase64(key), value: fromBase64(value) } as const;
  return lease === undefined ? put : { ...put, leaseId: lease };
}

export function encodeEvent({ kind, key, value, modRevision }: WatchEvent): object {
  const type = kind === 'delete' ? { type: 'DELETE' } : {};
  const kv = { key: toBase64(key), value: toBase64(value), mod_revision: String(modRevision) };
  return { ...type, kv };
}
