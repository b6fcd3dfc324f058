import type { Deployment, PatiencePlan } from './deployment';

const BROWSER_PATIENCE: PatiencePlan = {
  attemptMeanMs: 2_400,
  attemptMinMs: 1_100,
  sigma: 0.4,
  totalMs: 7_000,
  maxAttempts: 4,
};

const BIDDER_PATIENCE: PatiencePlan = {
  attemptMeanMs: 6_000,
  attemptMinMs: 3_000,
  sigma: 0.3,
  totalMs: 15_000,
  maxAttempts: 12,
};

const ANALYST_PATIENCE: PatiencePlan = {
  attemptMeanMs: 5_000,
  attemptMinMs: 2_000,
  sigma: 0.3,
  totalMs: 8_000,
  maxAttempts: 3,
};

/** Pelletier & Sons: lot browsing and sealed bids; both end at the sale records. */
export const pelletier: Deployment = {
  name: 'pelletier',
  region: 'new-england',
  dataCentres: ['white-mountains', 'green-ridge', 'kennebec'],
  services: [
    {
      name: 'lot-catalog',
      instances: 4,
      slots: 110,
      connections: 770,
      methods: [
        {
          httpMethod: 'GET',
          path: '/lots',
          workMeanMs: 10,
          nested: { service: 'bid-desk', httpMethod: 'GET', path: '/status' },
        },
      ],
    },
    {
      name: 'bid-desk',
      instances: 3,
      slots: 150,
      connections: 1_000,
      methods: [
        {
          httpMethod: 'GET',
          path: '/status',
          workMeanMs: 20,
          nested: { service: 'sale-records', httpMethod: 'GET', path: '/sales' },
        },
        {
          httpMethod: 'POST',
          path: '/bids',
          workMeanMs: 20,
          nested: { service: 'contract-office', httpMethod: 'POST', path: '/contracts' },
        },
      ],
    },
    {
      name: 'contract-office',
      instances: 3,
      slots: 150,
      connections: 1_000,
      methods: [
        {
          httpMethod: 'POST',
          path: '/contracts',
          workMeanMs: 40,
          nested: { service: 'sale-records', httpMethod: 'POST', path: '/sales' },
        },
      ],
    },
    {
      name: 'sale-records',
      instances: 3,
      slots: 25,
      connections: 250,
      methods: [
        { httpMethod: 'GET', path: '/sales', workMeanMs: 480 },
        { httpMethod: 'POST', path: '/sales', workMeanMs: 480 },
      ],
    },
  ],
  requests: [
    {
      name: 'browse',
      class: 'deferrable',
      call: { service: 'lot-catalog', httpMethod: 'GET', path: '/lots' },
      ratePerSecond: 84,
      patience: BROWSER_PATIENCE,
    },
    {
      name: 'bid',
      class: 'money',
      call: { service: 'bid-desk', httpMethod: 'POST', path: '/bids' },
      ratePerSecond: 10,
      patience: BIDDER_PATIENCE,
    },
    {
      name: 'past-sales',
      class: 'deferrable',
      call: { service: 'sale-records', httpMethod: 'GET', path: '/sales' },
      ratePerSecond: 8,
      patience: ANALYST_PATIENCE,
    },
  ],
  slowestService: 'sale-records',
};
