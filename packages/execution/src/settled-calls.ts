import type { Chart } from '@daisyferry/charts/chart';
import { UnknownReason } from '@daisyferry/model/outcome';
import { CallEvent } from './call-chart';
import { CallSummaryCodec, type CallSummary } from './call-summary';
import type { Claim, RecordedResponse } from './claim';
import { claimFromSummary } from './claim-from-summary';
import { responseBytes, type ExpiryBucket } from './expiry-bucket';
import { ExpiryBucketTable } from './expiry-bucket-table';
import { nonceWords, type NonceWords } from './nonce';

export interface SettledStats {
  readonly settled: number;
  readonly summaryBytes: number;
  readonly responseBytes: number;
  readonly responsesKept: number;
  /** Responses dropped before the expiry of their ticket, since the start. */
  readonly responsesDropped: number;
}

/**
 * Settled calls until their tickets expire: summaries, which are never dropped earlier, and
 * responses, which are evicted when the byte budget is used up.
 */
export class SettledCalls {
  private readonly buckets: ExpiryBucketTable;

  private readonly codec: CallSummaryCodec;

  private summaryBytes = 0;

  private keptResponseBytes = 0;

  private responsesDropped = 0;

  constructor(
    private readonly chart: Chart,
    bucketMs: number,
  ) {
    this.buckets = new ExpiryBucketTable(bucketMs);
    this.codec = new CallSummaryCodec(chart.states);
  }

  get bytes(): number {
    return this.summaryBytes + this.keptResponseBytes;
  }

  /** Bucket of an expiry time; created if absent. */
  bucketFor(expiresAtMs: number): ExpiryBucket {
    return this.buckets.getOrCreate(expiresAtMs);
  }

  /** Evicts responses, earliest expiry first, until the settled calls fit; false if they cannot. */
  shrinkTo(bytes: number): boolean {
    while (this.bytes > bytes) {
      if (!this.dropOldestResponse()) return false;
    }
    return true;
  }

  /** Reserves space for one summary, so that storing it cannot fail. */
  reserve(bucket: ExpiryBucket): void {
    this.summaryBytes += bucket.growthBytes();
    bucket.reserve();
  }

  storeSummary(bucket: ExpiryBucket, words: NonceWords, summary: CallSummary): void {
    bucket.setSummary(words, this.codec.encode(summary));
  }

  /** Keeps the response of a settled call if it fits into the byte budget. */
  keepResponse(
    call: { readonly nonce: string; readonly words: NonceWords; readonly expiresAtMs: number },
    bucket: ExpiryBucket,
    response: RecordedResponse,
    budgetBytes: number,
  ): void {
    const isBucketKept = this.buckets.find(call.expiresAtMs) === bucket;
    if (!isBucketKept) return;
    const neededBytes = responseBytes(response);
    if (!this.shrinkTo(budgetBytes - neededBytes)) {
      this.markResponseDropped(bucket, call.words);
      return;
    }
    bucket.keepResponse(call.nonce, response);
    this.keptResponseBytes += neededBytes;
  }

  /** Claim for a repeat of a ticket; undefined when its call has no summary. */
  claimFor(expiresAtMs: number, nonce: string, words: NonceWords): Claim | undefined {
    const bucket = this.buckets.find(expiresAtMs);
    return bucket === undefined ? undefined : this.claimIn(bucket, nonce, words);
  }

  /** Claim for a repeat of a ticket whose expiry time is not known. */
  claimByNonce(nonce: string): Claim {
    const words = nonceWords(nonce);
    for (const bucket of this.buckets.all()) {
      const settled = this.claimIn(bucket, nonce, words);
      if (settled !== undefined) return settled;
    }
    return { kind: 'unknown', reason: UnknownReason.ticketExpired };
  }

  /** Removes the calls whose tickets have expired; returns their number. */
  removeExpired(nowMs: number): number {
    let removed = 0;
    for (const bucket of this.buckets.removeExpired(nowMs)) {
      removed += bucket.size;
      this.summaryBytes -= bucket.summaryBytes;
      this.keptResponseBytes -= bucket.responseBytes;
    }
    return removed;
  }

  stats(): SettledStats {
    const buckets = [...this.buckets.all()];
    return {
      settled: buckets.reduce((sum, bucket) => sum + bucket.size, 0),
      summaryBytes: this.summaryBytes,
      responseBytes: this.keptResponseBytes,
      responsesKept: buckets.reduce((sum, bucket) => sum + bucket.responsesKept, 0),
      responsesDropped: this.responsesDropped,
    };
  }

  private claimIn(bucket: ExpiryBucket, nonce: string, words: NonceWords): Claim | undefined {
    const value = bucket.summaryOf(words);
    if (value === undefined) return undefined;
    return claimFromSummary(this.codec.decode(value), bucket.responseOf(nonce), 'repeat');
  }

  private dropOldestResponse(): boolean {
    const bucket = this.buckets.oldestWithResponses();
    if (bucket === undefined) return false;
    const before = bucket.responseBytes;
    const nonce = bucket.dropOldestResponse();
    this.keptResponseBytes -= before - bucket.responseBytes;
    if (nonce !== undefined) this.markResponseDropped(bucket, nonceWords(nonce));
    return true;
  }

  private markResponseDropped(bucket: ExpiryBucket, words: NonceWords): void {
    this.responsesDropped += 1;
    const value = bucket.summaryOf(words);
    if (value === undefined) return;
    const summary = this.codec.decode(value);
    const state = this.chart.next(summary.state, CallEvent.dropAnswer);
    if (state !== undefined) this.storeSummary(bucket, words, { ...summary, state });
  }
}
