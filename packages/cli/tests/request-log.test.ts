import { describe, expect, it } from 'vitest';
import { findRequestLogLines, formatLogLines } from '../src/request-log';

const LOG_TEXT = [
  'some other output',
  '{"level":30,"time":2000,"node":"entry","requestId":"r-1","answer":"outcomeUnknown","msg":"request not served"}',
  '{"level":30,"time":1000,"node":"home","requestId":"r-1","kind":"unknown","msg":"call not served at home"}',
  '{"level":30,"time":1500,"node":"home","requestId":"r-10","kind":"unknown","msg":"call not served at home"}',
  '{"level":30,"time":1500,"node":"home","requestId":"r-1","cut',
].join('\n');

describe('findRequestLogLines', () => {
  it('returns the lines of one request sorted by time', () => {
    const lines = findRequestLogLines(LOG_TEXT, 'r-1');
    expect(lines.map(({ node, msg }) => [node, msg])).toEqual([
      ['home', 'call not served at home'],
      ['entry', 'request not served'],
    ]);
    expect(formatLogLines(lines)).toBe(
      '1970-01-01T00:00:01.000Z home call not served at home kind="unknown"\n' +
        '1970-01-01T00:00:02.000Z entry request not served answer="outcomeUnknown"',
    );
  });

  it('returns nothing for an identifier without log lines', () => {
    expect(findRequestLogLines(LOG_TEXT, 'r-2')).toEqual([]);
  });
});
