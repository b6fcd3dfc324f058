import type { RecordedResponse } from './claim';
import type { NonceWords } from './nonce';
import { NonceTable } from './nonce-table';
import { RefusedNonceFilter } from './refused-nonce-filter';

/** Overhead of one kept response besides its headers and body. */
const RESPONSE_OVERHEAD_BYTES = 300;

/** Size of a response as counted against the byte budget. */
export function responseBytes(response: RecordedResponse): number {
  const headers = response.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return RESPONSE_OVERHEAD_BYTES + headers + response.body.length;
}

/** Settled calls whose tickets expire within one interval; removed as a whole. */
export class ExpiryBucket {
  private summaries: NonceTable | undefined;

  private refusedFilter: RefusedNonceFilter | undefined;

  private readonly responses = new Map<string, RecordedResponse>();

  private keptResponseBytes = 0;

  get size(): number {
    return this.summaries?.size ?? 0;
  }

  get summaryBytes(): number {
    return this.summaries?.bytes ?? 0;
  }

  get responseBytes(): number {
    return this.keptResponseBytes;
  }

  get responsesKept(): number {
    return this.responses.size;
  }

  /** Bytes that one more reservation would add to the bucket. */
  growthBytes(): number {
    return this.summaries === undefined ? NonceTable.initialBytes : this.summaries.growthBytes();
  }

  reserve(): void {
    this.summaries ??= new NonceTable();
    this.summaries.reserve();
  }

  summaryOf(nonce: NonceWords): number | undefined {
    return this.summaries?.get(nonce);
  }

  setSummary(nonce: NonceWords, value: number): void {
    this.summaries?.set(nonce, value);
  }

  addRefused(nonce: NonceWords): void {
    this.refusedFilter ??= new RefusedNonceFilter();
    this.refusedFilter.add(nonce);
  }

  isRefused(nonce: NonceWords): boolean {
    return this.refusedFilter?.has(nonce) ?? false;
  }

  responseOf(nonce: string): RecordedResponse | undefined {
    return this.responses.get(nonce);
  }

  keepResponse(nonce: string, response: RecordedResponse): void {
    this.responses.set(nonce, response);
    this.keptResponseBytes += responseBytes(response);
  }

  /** Drops the response kept longest and returns its nonce. */
  dropOldestResponse(): string | undefined {
    const oldest = this.responses.entries().next();
    if (oldest.done === true) return undefined;
    const [nonce, response] = oldest.value;
    this.responses.delete(nonce);
    this.keptResponseBytes -= responseBytes(response);
    return nonce;
  }
}
