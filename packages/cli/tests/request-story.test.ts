import { requestStory, storyText } from '@daisyferry/cli/request-story';
import { describe, expect, it } from 'vitest';

const LOGS = [
  'some other output',
  '{"level":30,"time":2000,"node":"entry","requestId":"r-1","answer":"outcomeUnknown","msg":"request not served"}',
  '{"level":30,"time":1000,"node":"home","requestId":"r-1","kind":"unknown","msg":"call not served at home"}',
  '{"level":30,"time":1500,"node":"home","requestId":"r-10","kind":"unknown","msg":"call not served at home"}',
  '{"level":30,"time":1500,"node":"home","requestId":"r-1","cut',
].join('\n');

describe('requestStory', () => {
  it('gives the lines of one request in order of time', () => {
    const lines = requestStory(LOGS, 'r-1');
    expect(lines.map(({ node, msg }) => [node, msg])).toEqual([
      ['home', 'call not served at home'],
      ['entry', 'request not served'],
    ]);
    expect(storyText(lines)).toBe(
      '1970-01-01T00:00:01.000Z home call not served at home kind="unknown"\n' +
        '1970-01-01T00:00:02.000Z entry request not served answer="outcomeUnknown"',
    );
  });

  it('gives nothing for an id that no line names', () => {
    expect(requestStory(LOGS, 'r-2')).toEqual([]);
  });
});
