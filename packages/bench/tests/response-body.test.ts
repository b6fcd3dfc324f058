import { describe, expect, it } from 'vitest';
import { buildResponseBody, checkResponseBody } from '../src/response-body';

const identity = { request: 'r-1', callKey: 'r-1/0', service: 'teller', path: '/rates' };
const completeBody = buildResponseBody(identity, 100);

describe('checkResponseBody', () => {
  it.each([
    { what: 'its own complete response', body: completeBody, expected: 'valid' },
    {
      what: 'the response to another request',
      body: buildResponseBody({ ...identity, request: 'r-2' }, 9),
      expected: 'crossed',
    },
    {
      what: 'the response to another attempt',
      body: buildResponseBody({ ...identity, callKey: 'r-1/1' }, 9),
      expected: 'crossed',
    },
    {
      what: 'a response without its last character',
      body: completeBody.slice(0, -1),
      expected: 'cut',
    },
    { what: 'a truncated response', body: completeBody.slice(0, 60), expected: 'cut' },
    { what: 'an empty response', body: '', expected: 'cut' },
  ])('classifies $what as $expected', ({ body, expected }) => {
    expect(checkResponseBody(body, identity)).toBe(expected);
  });
});
