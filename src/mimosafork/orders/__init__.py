"""Orders to endpoints: sent under a lease and paced by the weight store's limit."""
