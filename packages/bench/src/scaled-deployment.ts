import type { Deployment } from './deployment';

/** Returns a smaller copy with the given instances of each service and proportional demand. */
export function scaledDeployment(deployment: Deployment, instances: number): Deployment {
  const slowest = deployment.services.find(({ name }) => name === deployment.slowestService);
  const scale = instances / (slowest?.instances ?? 1);
  return {
    ...deployment,
    services: deployment.services.map((service) => ({ ...service, instances })),
    requests: deployment.requests.map((kind) => ({
      ...kind,
      ratePerSecond: kind.ratePerSecond * scale,
    })),
  };
}
