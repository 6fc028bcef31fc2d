"""Developer tools: code and page generators, a local cluster and the demo."""
