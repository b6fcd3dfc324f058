import type { Deployment, PatiencePlan } from './deployment';

const CUSTOMER_PATIENCE: PatiencePlan = {
  attemptMeanMs: 2_000,
  attemptMinMs: 900,
  sigma: 0.4,
  totalMs: 6_000,
  maxAttempts: 4,
};

const CASHIER_PATIENCE: PatiencePlan = {
  attemptMeanMs: 6_000,
  attemptMinMs: 3_000,
  sigma: 0.3,
  totalMs: 15_000,
  maxAttempts: 12,
};

const NIGHTLY_JOB_PATIENCE: PatiencePlan = {
  attemptMeanMs: 5_000,
  attemptMinMs: 2_000,
  sigma: 0.3,
  totalMs: 8_000,
  maxAttempts: 3,
};

/** Casa Dorado: rate checks call pricing, payouts call the vault; both end at the archive. */
export const dorado: Deployment = {
  name: 'dorado',
  region: 'ncr',
  dataCentres: ['binondo', 'quiapo', 'makati', 'caloocan'],
  services: [
    {
      name: 'teller',
      instances: 4,
      slots: 170,
      connections: 1_100,
      methods: [
        {
          httpMethod: 'GET',
          path: '/rates',
          workMeanMs: 10,
          nested: { service: 'pricing', httpMethod: 'GET', path: '/prices' },
        },
        {
          httpMethod: 'POST',
          path: '/payouts',
          workMeanMs: 10,
          nested: { service: 'vault', httpMethod: 'POST', path: '/entries' },
        },
      ],
    },
    {
      name: 'vault',
      instances: 4,
      slots: 170,
      connections: 1_100,
      methods: [
        {
          httpMethod: 'POST',
          path: '/entries',
          workMeanMs: 60,
          nested: { service: 'archive', httpMethod: 'POST', path: '/journal' },
        },
      ],
    },
    {
      name: 'pricing',
      instances: 4,
      slots: 15,
      connections: 190,
      methods: [
        {
          httpMethod: 'GET',
          path: '/prices',
          workMeanMs: 350,
          nested: { service: 'archive', httpMethod: 'GET', path: '/records' },
        },
      ],
    },
    {
      name: 'archive',
      instances: 4,
      slots: 170,
      connections: 1_100,
      methods: [
        { httpMethod: 'GET', path: '/records', workMeanMs: 50 },
        { httpMethod: 'POST', path: '/journal', workMeanMs: 40 },
        { httpMethod: 'GET', path: '/nightly', workMeanMs: 100 },
      ],
    },
  ],
  requests: [
    {
      name: 'rate-check',
      class: 'interactive',
      call: { service: 'teller', httpMethod: 'GET', path: '/rates' },
      ratePerSecond: 97,
      patience: CUSTOMER_PATIENCE,
    },
    {
      name: 'payout',
      class: 'money',
      call: { service: 'teller', httpMethod: 'POST', path: '/payouts' },
      ratePerSecond: 12,
      patience: CASHIER_PATIENCE,
    },
    {
      name: 'nightly',
      class: 'background',
      call: { service: 'archive', httpMethod: 'GET', path: '/nightly' },
      ratePerSecond: 10,
      patience: NIGHTLY_JOB_PATIENCE,
    },
  ],
  slowestService: 'pricing',
};
