import { createHash } from 'node:crypto';

/** What a stand-in target answers, so that the caller can tell that the answer is its own. */
export interface AnswerIdentity {
  readonly request: string;
  readonly callKey: string;
  readonly service: string;
  readonly path: string;
}

export type AnswerCheck = 'own' | 'crossed' | 'cut';

const DIGEST_CHARACTERS = 40;

function digestOf(text: string): string {
  return createHash('sha1').update(text).digest('hex');
}

/** Writes the answer: one JSON document, padding of the given length, and a digest of both. */
export function answerBody(identity: AnswerIdentity, paddingBytes: number): string {
  const text = JSON.stringify({ ...identity, padding: 'x'.repeat(paddingBytes) });
  return `${text}${digestOf(text)}`;
}

/** Checks that an answer is whole and belongs to the call. */
export function checkAnswer(body: string, expected: AnswerIdentity): AnswerCheck {
  const text = body.slice(0, -DIGEST_CHARACTERS);
  if (body.length <= DIGEST_CHARACTERS) return 'cut';
  if (digestOf(text) !== body.slice(-DIGEST_CHARACTERS)) return 'cut';
  const found = JSON.parse(text) as AnswerIdentity;
  const own =
    found.request === expected.request &&
    found.callKey === expected.callKey &&
    found.service === expected.service &&
    found.path === expected.path;
  return own ? 'own' : 'crossed';
}
