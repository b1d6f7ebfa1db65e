/**
 * Admission control: validates a request against the file set and charges its
 * estimated tokens to the customer's rate limit.
 */
import type {Customer, FileSet, RequestClass} from '@buckthornbeam/config';
import {
  createOutputEstimator,
  createTokenBucket,
  splitRate,
} from '@buckthornbeam/decisions';
import type {TokenBucket} from '@buckthornbeam/decisions';
import {RouterError} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {ChatRequest} from './chat_request.js';

/** A request that passed admission. */
export interface AdmittedRequest {
  request: ChatRequest;
  customerId: string;
  requestClass: RequestClass;
  /** Estimated tokens of the prompt and the answer. */
  estimatedTokens: number;
  /** Prompt tokens included in `estimatedTokens`. */
  promptTokens: number;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  clock: Clock;
  getFileSet: () => FileSet;
  /** Counts the instances among which each customer's rate is divided. */
  countInstances: () => number;
}

/**
 * Admits requests; a rejected one throws a {@link RouterError} with outcome
 * `not_run`.
 */
export interface Admission {
  getCustomerId(apiKeyDigest: string): string;
  accept(customerId: string, request: ChatRequest): AdmittedRequest;
  /**
   * Replaces the estimated output by the actual one in the customer's token
   * bucket. Only complete answers are used for later estimates.
   */
  settle(
    admitted: AdmittedRequest,
    outputTokens: number,
    isComplete: boolean,
  ): void;
}

interface CustomerBucket {
  bucket: TokenBucket;
  /** Inputs of the current bucket size; a change resizes the bucket. */
  customer: Customer;
  instanceCount: number;
}

/** Average length of a prompt token in characters, for estimates. */
const CHARACTERS_PER_TOKEN = 4;

function estimatePromptTokens(request: ChatRequest): number {
  const characters = JSON.stringify(request.body['messages']).length;
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

/** Caps `max_tokens` at the class limit, so that every answer is bounded. */
function applyOutputLimit(
  request: ChatRequest,
  requestClass: RequestClass,
): ChatRequest {
  const maximumTokens = Math.min(
    request.maximumTokens ?? requestClass.maximumOutputTokens,
    requestClass.maximumOutputTokens,
  );
  const body = {
    ...request.body,
    max_tokens: maximumTokens,
    max_completion_tokens: undefined,
  };
  return {...request, body, maximumTokens};
}

export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, getFileSet, countInstances} = options;
  const buckets = new Map<string, CustomerBucket>();
  const outputEstimator = createOutputEstimator();

  function getClass(name: string): RequestClass {
    const requestClass = getFileSet().classes.get(name);
    if (!requestClass) {
      throw new RouterError('unknown_class', `unknown class "${name}"`);
    }
    return requestClass;
  }

  function createBucket(customer: Customer): CustomerBucket {
    const instanceCount = countInstances();
    const bucket = createTokenBucket(splitRate(customer, instanceCount));
    return {bucket, customer, instanceCount};
  }

  /**
   * Returns the customer's bucket, resized if the customer's rate or the number
   * of instances changed.
   */
  function getBucket(customerId: string): TokenBucket {
    const customer = getFileSet().customers.get(customerId)!;
    const customerBucket = buckets.get(customerId) ?? createBucket(customer);
    buckets.set(customerId, customerBucket);
    const instanceCount = countInstances();
    if (
      customerBucket.customer !== customer ||
      customerBucket.instanceCount !== instanceCount
    ) {
      customerBucket.bucket.resize(
        splitRate(customer, instanceCount),
        clock.now(),
      );
      customerBucket.customer = customer;
      customerBucket.instanceCount = instanceCount;
    }
    return customerBucket.bucket;
  }

  function estimateOutputTokens(
    customerId: string,
    {className, model, maximumTokens = Infinity}: ChatRequest,
    {maximumOutputTokens}: RequestClass,
  ): number {
    const maximum = Math.min(maximumTokens, maximumOutputTokens);
    return outputEstimator.estimate({className, customerId, model}, maximum);
  }

  function takeCustomerTokens(customerId: string, tokens: number): void {
    const bucket = getBucket(customerId);
    const waitMs = bucket.take(tokens, clock.now());
    if (waitMs > 0) {
      throw new RouterError(
        'customer_limit',
        `customer ${customerId} exceeded its token rate`,
        {retryAfterMs: waitMs},
      );
    }
  }

  return {
    getCustomerId: apiKeyDigest => {
      const customer = getFileSet().customersByKeyDigest.get(apiKeyDigest);
      if (!customer) {
        throw new RouterError('unknown_customer', 'unknown API key');
      }
      return customer.id;
    },
    accept: (customerId, request) => {
      const requestClass = getClass(request.className);
      if (!getFileSet().models.has(request.model)) {
        throw new RouterError(
          'unknown_model',
          `unknown model "${request.model}"`,
        );
      }
      const promptTokens = estimatePromptTokens(request);
      const outputTokens = estimateOutputTokens(
        customerId,
        request,
        requestClass,
      );
      const estimatedTokens = promptTokens + outputTokens;
      takeCustomerTokens(customerId, estimatedTokens);
      return {
        request: applyOutputLimit(request, requestClass),
        customerId,
        requestClass,
        estimatedTokens,
        promptTokens,
      };
    },
    settle: (admitted, outputTokens, isComplete) => {
      const {customerId, request, estimatedTokens, promptTokens} = admitted;
      const {className, model} = request;
      if (getFileSet().customers.has(customerId)) {
        const used = promptTokens + outputTokens;
        getBucket(customerId).settle(used - estimatedTokens);
      }
      if (isComplete) {
        outputEstimator.observe({className, customerId, model}, outputTokens);
      }
    },
  };
}
