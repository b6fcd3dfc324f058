import { describe, expect, it } from 'vitest';
import callChart from '../src/call.chart.json';
import { Chart } from '../src/chart';
import { ChartError } from '../src/chart-error';
import policyChangeChart from '../src/policy-change.chart.json';
import targetChart from '../src/target.chart.json';

describe('chart', () => {
  it.each([callChart, targetChart, policyChangeChart])('loads $id', (definition) => {
    expect(new Chart(definition).initial).toBe(definition.initial);
  });

  it('follows transitions and recognizes final states', () => {
    const chart = new Chart(callChart);
    expect(chart.next('claimed', 'HAND_OVER')).toBe('running');
    expect(chart.next('refused', 'HAND_OVER')).toBeUndefined();
    expect(chart.isFinal('refused')).toBe(true);
    expect(chart.isFinal('claimed')).toBe(false);
  });

  it('derives the transitions from the definition', () => {
    const states = { ...callChart.states, claimed: { on: { REFUSE: 'refused' } } };
    expect(new Chart({ ...callChart, states }).next('claimed', 'HAND_OVER')).toBeUndefined();
  });

  it.each([
    { initial: 'nowhere', states: callChart.states, path: 'initial' },
    { initial: 'a', states: { a: { on: { GO: 'b' } } }, path: 'states.a.on.GO' },
  ])('reports an unknown state at $path', ({ initial, states, path }) => {
    const load = () => new Chart({ id: 'call', initial, states });
    expect(load).toThrow(ChartError);
    expect(load).toThrow(path);
  });
});
