import path from 'node:path';
import { describe, expect, it } from 'vitest';
import { capacityRequestsPerSecond, meanSlotTimeMs, findMethodPlan } from '../src/deployment';
import { DEPLOYMENTS } from '../src/deployments';
import { allInstances } from '../src/instance';
import { readPolicies } from '../src/policy-files';

describe.each(Object.values(DEPLOYMENTS))('deployment $name', (deployment) => {
  it('has a plan for every call of its call graph, which is three levels deep', () => {
    for (const { call, name } of deployment.requests) {
      const second = findMethodPlan(deployment, call)?.nested;
      expect(findMethodPlan(deployment, call)).toBeDefined();
      if (name === 'nightly' || name === 'past-sales') continue;
      const third = second === undefined ? undefined : findMethodPlan(deployment, second)?.nested;
      expect(third === undefined ? undefined : findMethodPlan(deployment, third)).toBeDefined();
    }
  });

  it('loads its slowest service to 60 to 70 % of capacity before a surge', () => {
    const capacity = capacityRequestsPerSecond(deployment);
    const demand = deployment.requests
      .filter(
        ({ class: callClass }) => deployment.name === 'pelletier' || callClass === 'interactive',
      )
      .reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
    expect(demand / capacity).toBeGreaterThan(0.6);
    expect(demand / capacity).toBeLessThan(0.7);
  });

  it('calls only methods of its example policies, with the same class', () => {
    const folder = path.resolve(import.meta.dirname, '../../../examples', deployment.name);
    const policies = readPolicies(path.join(folder, 'policies'));
    for (const service of deployment.services) {
      const rules = policies.find((policy) => policy.service === service.name)?.methods ?? [];
      const known = rules.map(({ httpMethod, pathPrefix }) => `${httpMethod} ${pathPrefix}`);
      const planned = service.methods.map((method) => `${method.httpMethod} ${method.path}`);
      expect(known).toEqual(expect.arrayContaining(planned));
    }
    for (const { call, class: callClass } of deployment.requests) {
      const policy = policies.find(({ service }) => service === call.service);
      const rule = policy?.methods.find(
        ({ httpMethod, pathPrefix }) => httpMethod === call.httpMethod && pathPrefix === call.path,
      );
      expect(rule?.class).toBe(callClass);
    }
  });

  it('gives each instance a unique name', () => {
    const names = allInstances(deployment).map(({ name }) => name);
    expect(new Set(names).size).toBe(names.length);
  });
});

describe('capacity of dorado', () => {
  const deployment = DEPLOYMENTS['dorado'] ?? expect.fail();

  it('includes the slot time of nested calls', () => {
    const call = { service: 'teller', httpMethod: 'GET', path: '/rates' } as const;
    expect(meanSlotTimeMs(deployment, call)).toBe(410);
  });

  it('scales only the processing time of the slow service', () => {
    expect(capacityRequestsPerSecond(deployment)).toBe(150);
    expect(capacityRequestsPerSecond(deployment, 0.5)).toBe(80);
  });
});
