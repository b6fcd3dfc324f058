import { Emitter } from '@daisyferry/sidecar/emitter';
import { expect, it } from 'vitest';

it('tells all listeners of an event, although one of them throws', () => {
  const emitter = new Emitter<number>();
  const told: number[] = [];
  emitter.subscribe(() => {
    throw new RangeError('unexpected');
  });
  emitter.subscribe((value) => told.push(value));
  expect(() => emitter.emit(5)).toThrow(RangeError);
  expect(told).toEqual([5]);
});
