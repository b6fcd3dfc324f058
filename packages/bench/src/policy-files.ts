import { servicePolicySchema, type ServicePolicy } from '@daisyferry/model/policy';
import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';

/** Reads the example policies of a deployment: one JSON document per service. */
export function readPolicies(folder: string): readonly ServicePolicy[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith('.json'))
    .sort()
    .map((file) => {
      const document: unknown = JSON.parse(readFileSync(path.join(folder, file), 'utf8'));
      return servicePolicySchema.parse(document);
    });
}

/** Maximum number of retries that one root request may cause under any of the policies. */
export function retryBoundOf(policies: readonly ServicePolicy[]): number {
  return Math.max(0, ...policies.map(({ retries }) => retries.tokensPerRoot));
}
