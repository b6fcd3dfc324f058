import type { RecordedAnswer } from './claim';
import { FactTable } from './fact-table';
import type { NonceWords } from './nonce';
import { RefusedFilter } from './refused-filter';

/** Bookkeeping of one kept answer besides its text and body. */
const ANSWER_OVERHEAD_BYTES = 300;

/** Bytes that an answer counts against the budget. */
export function answerBytes(answer: RecordedAnswer): number {
  const headers = answer.headers.reduce(
    (sum, [name, value]) => sum + name.length + value.length,
    0,
  );
  return ANSWER_OVERHEAD_BYTES + headers + answer.body.length;
}

/** The settled calls whose tickets expire within one slice of time; forgotten as a whole. */
export class RecordSlice {
  private facts: FactTable | undefined;

  private filter: RefusedFilter | undefined;

  private readonly answers = new Map<string, RecordedAnswer>();

  private heldAnswerBytes = 0;

  get size(): number {
    return this.facts?.size ?? 0;
  }

  get factBytes(): number {
    return this.facts?.bytes ?? 0;
  }

  get answerBytes(): number {
    return this.heldAnswerBytes;
  }

  get answersHeld(): number {
    return this.answers.size;
  }

  /** Bytes that one more reservation would add. */
  growthBytes(): number {
    return this.facts === undefined ? FactTable.initialBytes : this.facts.growthBytes();
  }

  reserve(): void {
    this.facts ??= new FactTable();
    this.facts.reserve();
  }

  factOf(nonce: NonceWords): number | undefined {
    return this.facts?.get(nonce);
  }

  setFact(nonce: NonceWords, value: number): void {
    this.facts?.set(nonce, value);
  }

  refuseForever(nonce: NonceWords): void {
    this.filter ??= new RefusedFilter();
    this.filter.add(nonce);
  }

  isRefused(nonce: NonceWords): boolean {
    return this.filter?.has(nonce) ?? false;
  }

  answerOf(nonce: string): RecordedAnswer | undefined {
    return this.answers.get(nonce);
  }

  holdAnswer(nonce: string, answer: RecordedAnswer): void {
    this.answers.set(nonce, answer);
    this.heldAnswerBytes += answerBytes(answer);
  }

  /** Drops the answer held longest and returns its nonce. */
  dropOldestAnswer(): string | undefined {
    const oldest = this.answers.entries().next();
    if (oldest.done === true) return undefined;
    const [nonce, answer] = oldest.value;
    this.answers.delete(nonce);
    this.heldAnswerBytes -= answerBytes(answer);
    return nonce;
  }
}
