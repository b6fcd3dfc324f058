import { UnreadableEntries } from '@daisyferry/sidecar/unreadable-entries';
import { expect, it } from 'vitest';

it('names an unreadable entry once, however often the store is read', () => {
  const entries = new UnreadableEntries();
  expect([1, 2, 3].map(() => entries.add('k', 'address'))).toEqual([true, false, false]);
  expect(entries.add('k', 'slots')).toBe(true);
  entries.retain(new Set(['k']));
  expect(entries.count).toBe(1);
  entries.remove('k');
  expect(entries.add('k', 'slots')).toBe(true);
  const named = Array.from({ length: 5_000 }, (_, index) => entries.add(`k${index}`, 'slots'));
  expect(named.filter(Boolean).length).toBeLessThan(1_001);
  entries.retain(new Set());
  expect(entries.count).toBe(0);
});
