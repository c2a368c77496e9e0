package org.catkinproxy.bench;

/**
 * How prompts of a deployment share prefixes: roots, sections below them, documents below these.
 * Immutable.
 *
 * @param rootsPerWorkspace texts that a workspace's prompts begin with
 * @param rootBlocks blocks of each
 * @param sectionsPerRoot parts that follow a root
 * @param sectionBlocks blocks of each
 * @param documentBlocks blocks of a new document
 * @param documentGrowth blocks that a document gains by each use
 * @param documentReuse the chance that a request continues an earlier document
 * @param liveDocuments documents of a workspace that may be continued
 */
record PromptShape(
        int rootsPerWorkspace,
        int rootBlocks,
        int sectionsPerRoot,
        int sectionBlocks,
        int documentBlocks,
        int documentGrowth,
        double documentReuse,
        int liveDocuments) {}
