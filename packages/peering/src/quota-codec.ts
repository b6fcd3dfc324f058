import type { QuotaAnswer, QuotaAsk } from '@daisyferry/accounts/quota-ask';
import { parseJson } from './control-codec';

// A question is `[number, account, need, ahead, unused, ...]`, its answer `[number, count, timeMs,
// ...]` in the same order, where a negative count stands for the other kinds of answers.

const FIELDS_PER_ASK = 4;
const FIELDS_PER_ANSWER = 2;
const DEFERRED = -1;
const UNREADY = -2;
/** Accounts in one question. */
const MAX_ASKS = 1_024;
const MAX_COUNT = 1_000_000;
const MAX_TIME_MS = 60_000;

export interface QuotaQuestion {
  readonly number: number;
  readonly asks: readonly QuotaAsk[];
}

export interface QuotaAnswers {
  readonly number: number;
  readonly answers: readonly QuotaAnswer[];
}

/** A figure of another process, limited to its range. */
function limited(value: unknown, min: number, max: number): number | undefined {
  if (typeof value !== 'number' || !Number.isFinite(value)) return undefined;
  return Math.min(max, Math.max(min, Math.floor(value)));
}

function fieldsOf(text: string): { number: number; fields: readonly unknown[] } | undefined {
  const value = parseJson(text);
  const [first, ...fields]: readonly unknown[] = Array.isArray(value) ? value : [];
  const number = limited(first, 0, Number.MAX_SAFE_INTEGER);
  return number === undefined ? undefined : { number, fields };
}

function toAnswer(first: unknown, second: unknown): QuotaAnswer | undefined {
  const count = limited(first, UNREADY, MAX_COUNT);
  const timeMs = limited(second, 0, MAX_TIME_MS);
  if (count === undefined || timeMs === undefined) return undefined;
  if (count === UNREADY) return { kind: 'unready', forMs: timeMs };
  if (count === DEFERRED) return { kind: 'deferred', forMs: timeMs };
  return { kind: 'granted', count, roomInMs: timeMs };
}

function encodeAnswer(answer: QuotaAnswer): readonly [number, number] {
  if (answer.kind === 'granted') return [answer.count, Math.ceil(answer.roomInMs)];
  return [answer.kind === 'deferred' ? DEFERRED : UNREADY, Math.ceil(answer.forMs)];
}

export function encodeQuotaQuestion({ number, asks }: QuotaQuestion): string {
  const fields = asks.flatMap(({ account, need, ahead, unused }) => [account, need, ahead, unused]);
  return JSON.stringify([number, ...fields]);
}

/** Decodes a question; undefined if it cannot be read whole. */
export function decodeQuotaQuestion(text: string): QuotaQuestion | undefined {
  const decoded = fieldsOf(text);
  if (decoded === undefined) return undefined;
  const { number, fields } = decoded;
  if (fields.length % FIELDS_PER_ASK !== 0 || fields.length > MAX_ASKS * FIELDS_PER_ASK)
    return undefined;
  const asks: QuotaAsk[] = [];
  for (let index = 0; index < fields.length; index += FIELDS_PER_ASK) {
    const account = fields[index];
    const [need, ahead, unused] = fields
      .slice(index + 1, index + FIELDS_PER_ASK)
      .map((field) => limited(field, 0, MAX_COUNT));
    if (typeof account !== 'string') return undefined;
    if (need === undefined || ahead === undefined || unused === undefined) return undefined;
    asks.push({ account, need, ahead, unused });
  }
  return { number, asks };
}

export function encodeQuotaAnswers({ number, answers }: QuotaAnswers): string {
  return JSON.stringify([number, ...answers.flatMap(encodeAnswer)]);
}

/** Decodes the answers to a question; undefined if they cannot be read whole. */
export function decodeQuotaAnswers(text: string): QuotaAnswers | undefined {
  const decoded = fieldsOf(text);
  if (decoded === undefined) return undefined;
  const { number, fields } = decoded;
  if (fields.length > MAX_ASKS * FIELDS_PER_ANSWER) return undefined;
  const answers: QuotaAnswer[] = [];
  for (let index = 0; index < fields.length; index += FIELDS_PER_ANSWER) {
    const answer = toAnswer(fields[index], fields[index + 1]);
    if (answer === undefined) return undefined;
    answers.push(answer);
  }
  return { number, answers };
}
