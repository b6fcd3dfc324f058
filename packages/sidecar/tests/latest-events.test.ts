import { latestEvents } from '@daisyferry/sidecar/latest-events';
import { describe, expect, it } from 'vitest';

describe('latestEvents', () => {
  it('leaves out a record that was removed again within the same response', () => {
    const put = { kind: 'put', key: 'a', value: 'record', modRevision: 1 } as const;
    const removal = { kind: 'delete', key: 'a', value: '', modRevision: 2 } as const;
    const other = { ...put, key: 'b', modRevision: 3 };
    expect(latestEvents([put, removal, other])).toEqual([removal, other]);
    expect(latestEvents([removal, { ...put, modRevision: 4 }])).toEqual([
      { ...put, modRevision: 4 },
    ]);
  });
});
