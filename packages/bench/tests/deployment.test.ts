import { describe, expect, it } from 'vitest';
import { capacityRequestsPerSecond, heldMeanMs, methodPlan } from '../src/deployment';
import { DEPLOYMENTS } from '../src/deployments';
import { allInstances } from '../src/instance';

describe.each(Object.values(DEPLOYMENTS))('deployment $name', (deployment) => {
  it('has a plan for every call of its graph, three deep for its callers', () => {
    for (const { call, class: name } of deployment.requests) {
      const second = methodPlan(deployment, call)?.nested;
      expect(methodPlan(deployment, call)).toBeDefined();
      if (name === 'background') continue;
      const third = second === undefined ? undefined : methodPlan(deployment, second)?.nested;
      expect(third === undefined ? undefined : methodPlan(deployment, third)).toBeDefined();
    }
  });

  it('loads its slowest service to between 60 and 70 % before a surge', () => {
    const capacity = capacityRequestsPerSecond(deployment);
    const demand = deployment.requests
      .filter(({ class: name }) => deployment.name === 'pelletier' || name === 'interactive')
      .reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
    expect(demand / capacity).toBeGreaterThan(0.6);
    expect(demand / capacity).toBeLessThan(0.7);
  });

  it('names each instance once', () => {
    const names = allInstances(deployment).map(({ name }) => name);
    expect(new Set(names).size).toBe(names.length);
  });
});

describe('capacity of dorado', () => {
  const deployment = DEPLOYMENTS['dorado'] ?? expect.fail();

  it('adds the nested calls', () => {
    const call = { service: 'teller', httpMethod: 'GET', path: '/rates' } as const;
    expect(heldMeanMs(deployment, call)).toBe(410);
  });

  it('slows only the work of the slow service itself', () => {
    expect(capacityRequestsPerSecond(deployment)).toBe(150);
    expect(capacityRequestsPerSecond(deployment, 0.5)).toBe(80);
  });
});
