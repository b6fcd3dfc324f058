import { describe, expect, it } from 'vitest';
import { answerBody, checkAnswer } from '../src/answer-body';

const own = { request: 'r-1', callKey: 'r-1/0', service: 'teller', path: '/rates' };
const whole = answerBody(own, 100);

describe('checkAnswer', () => {
  it.each([
    { what: 'its own whole answer', body: whole, expected: 'own' },
    {
      what: "another caller's answer",
      body: answerBody({ ...own, request: 'r-2' }, 9),
      expected: 'crossed',
    },
    {
      what: 'the answer to another attempt',
      body: answerBody({ ...own, callKey: 'r-1/1' }, 9),
      expected: 'crossed',
    },
    { what: 'an answer without its end', body: whole.slice(0, -1), expected: 'cut' },
    { what: 'half an answer', body: whole.slice(0, 60), expected: 'cut' },
    { what: 'nothing', body: '', expected: 'cut' },
  ])('finds $what', ({ body, expected }) => {
    expect(checkAnswer(body, own)).toBe(expected);
  });
});
